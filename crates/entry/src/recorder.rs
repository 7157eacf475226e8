//! Makes job records durable and makes sure that the entry was still the owner after that.

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
/// Confirmations lapse after one second.
const CONFIRM_EVERY: Duration = Duration::from_millis(300);
const RETRY: Duration = Duration::from_millis(100);

/// Writes the records of accepted jobs.
#[derive(Clone)]
pub(crate) struct Recorder {
    writer: Writer<JobRecord>,
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

    /// Hands a record to the log; [`Recorded`] follows when it is durable.  A record that
    /// must precede the start is refused while the log is known to be down.
    pub(crate) fn record(
        &self,
        id: JobId,
        record: &JobRecord,
        must_precede: bool,
    ) -> Result<(), Refusal> {
        let refusal = Refusal::LogUnavailable { retry_after_ms: RETRY_AFTER_MS };
        if must_precede && !self.writer.state().is_available {
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

    /// Asks for the claims to be read to their end soon.
    pub(crate) fn check_ownership(&self) {
        self.recheck.notify_one();
    }
}

impl OwnershipCheck {
    /// Confirms durable records to the dispatcher, many at a time.
    pub(crate) async fn run(mut self, dispatcher: ActorRef<Dispatcher>) {
        loop {
            let mut ids = Vec::new();
            tokio::select! {
                id = self.durable.recv() => match id {
                    Some(id) => ids.push(id),
                    None => return,
                },
                () = self.recheck.notified() => {}
                () = sleep(CONFIRM_EVERY) => {}
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

    /// Waits until every claim that the log holds now has been applied.  Returns when the
    /// question was sent.
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
                Err(_) => sleep(RETRY).await,
            }
        }
    }
}
