use std::{marker::PhantomData, sync::Arc};

use ports::{Log, Offset};
use serde::Serialize;
use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};
use types::{Peer, StepError};

use crate::{
    JournalError, WriterSettings, WriterState, appender::Appender, backlog::PendingBody,
    codec::encode_body, writer_shared::WriterShared,
};

types::identifier! {
    /// Position of a body that is durable.
    pub struct Committed {
        /// Offset of the record that holds the body.
        pub offset: Offset,
    }
}

/// Writes bodies to one stream with group commit: one append is in flight at a time, and
/// all bodies that arrive meanwhile are written by the next one.
///
/// A body that was accepted is never dropped: its append is retried until it is in the log.
/// Clones share one backlog.  The backlog is still written after the last clone is dropped.
#[derive(Debug)]
pub struct Writer<B> {
    handle: Arc<Handle>,
    body: PhantomData<fn(&B)>,
}

/// Closes the backlog when the last clone of a [`Writer`] is dropped.
#[derive(Debug)]
struct Handle(Arc<WriterShared>);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl<B> Clone for Writer<B> {
    fn clone(&self) -> Self {
        Self { handle: self.handle.clone(), body: PhantomData }
    }
}

impl<B: Serialize> Writer<B> {
    /// Starts the task that appends to the log.
    pub fn spawn(log: Arc<dyn Log>, settings: WriterSettings) -> Self {
        let shared = Arc::new(WriterShared::new(settings));
        tokio::spawn(Appender::new(log, shared.clone()).run());
        Self { handle: Arc::new(Handle(shared)), body: PhantomData }
    }

    /// Writes a body and waits without a time limit until it is durable.
    ///
    /// Dropping the future does not withdraw the body: it is still written.
    ///
    /// # Errors
    ///
    /// After [`JournalError::Stopped`] it is unknown whether the body was written; after any
    /// other error it certainly was not.
    pub async fn commit(&self, body: &B) -> Result<Committed, JournalError> {
        self.begin_commit(body)?.await
    }

    /// Accepts a body at once, in order after those accepted before, and returns a future
    /// that waits until it is durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was not accepted; the future fails as
    /// [`Writer::commit`] does.
    pub fn begin_commit(
        &self,
        body: &B,
    ) -> Result<impl Future<Output = Result<Committed, JournalError>> + Send + use<B>, JournalError>
    {
        let (tx, rx) = oneshot::channel();
        self.push(body, Some(tx))?;
        let stopped = JournalError::Stopped(self.error("committing", "the task has ended"));
        Ok(async move { rx.await.map(|offset| Committed { offset }).map_err(|_| stopped) })
    }

    /// Accepts a body to be written soon, without waiting until it is durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was not accepted.
    pub fn enqueue(&self, body: &B) -> Result<(), JournalError> {
        self.push(body, None)
    }

    /// Waits until all bodies that were accepted before are durable.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Stopped`] if the writer's task has stopped.
    pub async fn flush(&self) -> Result<(), JournalError> {
        let stopped = || JournalError::Stopped(self.error("flushing", "the task has ended"));
        self.handle.0.wait_until_durable().await.map_err(|_| stopped())
    }

    /// Returns the state of the backlog.
    pub fn state(&self) -> WriterState {
        self.handle.0.state()
    }

    /// Returns a receiver of whether the last append succeeded.
    pub fn availability(&self) -> watch::Receiver<bool> {
        self.handle.0.availability()
    }

    /// Raises the offset that the stream is known to have reached, which shortens the
    /// search for a record whose append was not answered.
    pub fn observe_offset(&self, offset: Offset) {
        self.handle.0.observe_offset(offset);
    }

    fn push(&self, body: &B, tx: Option<oneshot::Sender<Offset>>) -> Result<(), JournalError> {
        const STEP: &str = "enqueueing";
        let settings = &self.handle.0.settings;
        let body = encode_body(body).map_err(|e| JournalError::Encoding(self.error(STEP, e)))?;
        let bytes = body.len();
        let limit_bytes = settings.max_record_bytes;
        if bytes > limit_bytes {
            let cause = self.error(STEP, "too large");
            return Err(JournalError::TooLarge { bytes, limit_bytes, cause });
        }
        let pending = PendingBody { body, enqueued_at: Instant::now(), tx };
        self.handle.0.push(pending).map_err(|_| JournalError::Full {
            limit_bytes: settings.max_backlog_bytes,
            cause: self.error(STEP, "the log is down or slow"),
        })
    }

    pub(crate) fn error(&self, step: &'static str, cause: impl std::fmt::Display) -> StepError {
        let stream = &self.handle.0.settings.stream;
        StepError::new(step, Peer::Named(format!("stream {stream}")), cause)
    }
}
