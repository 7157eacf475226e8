//! Makes job records durable and then confirms that the entry was still the owner.

use std::sync::Arc;

use jobs::JobRecord;
use journal::Writer;
use kameo::actor::ActorRef;
use ports::{Log, Offset, StreamName};
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Duration, sleep},
};
use types::{JobId, Refusal};

use crate::{
    clock::Clock,
    dispatcher::Dispatcher,
    messages::{Confirmed, Recorded},
};

const RETRY_AFTER_MS: u64 = 1_000;
/// Shorter than one second, after which a confirmation expires.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Writes the records of accepted jobs.
#[derive(Clone)]
pub(crate) struct Recorder {
    writer: Writer<JobRecord>,
    /// Jobs whose records are durable.
    durable: mpsc::UnboundedSender<JobId>,
    recheck: Arc<Notify>,
}

/// Checks ownership after records have become durable.
pub(crate) struct OwnershipCheck {
    log: Arc<dyn Log>,
    clock: Clock,
    durable: mpsc::UnboundedReceiver<JobId>,
    position: watch::Receiver<Offset>,
    recheck: Arc<Notify>,
}

impl Recorder {
    pub(crate) fn new(
        log: Arc<dyn Log>,
        clock: Clock,
        writer: Writer<JobRecord>,
        position: watch::Receiver<Offset>,
    ) -> (Self, OwnershipCheck) {
        let (tx, rx) = mpsc::unbounded_channel();
        let recheck = Arc::new(Notify::new());
        let check =
            OwnershipCheck { log, clock, durable: rx, position, recheck: Arc::clone(&recheck) };
        (Self { writer, durable: tx, recheck }, check)
    }

    /// Queues a record for the log.  The dispatcher receives [`Recorded`] once it is durable and
    /// the ownership is confirmed.
    ///
    /// # Errors
    ///
    /// [`Refusal::LogUnavailable`] when the writer does not accept the record, or when the record
    /// must precede the start and the log is known to be unavailable.
    pub(crate) fn record(
        &self,
        id: JobId,
        record: &JobRecord,
        must_precede_start: bool,
    ) -> Result<(), Refusal> {
        let refusal = Refusal::LogUnavailable { retry_after_ms: RETRY_AFTER_MS };
        if must_precede_start && !self.writer.state().is_available {
            return Err(refusal);
        }
        let commit = self.writer.begin_commit(record).map_err(|_| refusal)?;
        let durable = self.durable.clone();
        tokio::spawn(async move {
            if commit.await.is_ok() {
                let _ = durable.send(id);
            }
        });
        Ok(())
    }

    /// Requests that the claims be read to their end now.
    pub(crate) fn check_ownership(&self) {
        self.recheck.notify_one();
    }
}

impl OwnershipCheck {
    /// Confirms the ownership at intervals, and reports durable records to the dispatcher in
    /// batches.
    pub(crate) async fn run(mut self, dispatcher: ActorRef<Dispatcher>) {
        loop {
            let mut ids = Vec::new();
            tokio::select! {
                id = self.durable.recv() => match id {
                    Some(id) => ids.push(id),
                    None => return,
                },
                () = self.recheck.notified() => {}
                () = sleep(CONFIRM_INTERVAL) => {}
            }
            while let Ok(id) = self.durable.try_recv() {
                ids.push(id);
            }
            let sent_ms = self.read_to_end().await;
            let _ = dispatcher.tell(Confirmed { sent_ms }).await;
            if !ids.is_empty() && dispatcher.tell(Recorded { ids }).await.is_err() {
                return;
            }
        }
    }

    /// Waits until every claim that the log holds now has been applied.  Returns the time in Unix
    /// milliseconds at which the successful read was sent.
    async fn read_to_end(&mut self) -> u64 {
        loop {
            let sent_ms = self.clock.now_ms();
            let from = *self.position.borrow();
            match self.log.read(&StreamName::claims(), from, 0).await {
                Ok(page) => {
                    let end = page.end;
                    let _ = self.position.wait_for(|position| *position >= end).await;
                    return sent_ms;
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }
}
