use futures::future::BoxFuture;

use crate::{LogError, LogPage, Offset, StreamName};

/// The platform's append-only log service.
pub trait Log: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::NoAnswer`] means that the record may have been appended or not.
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        data: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;

    /// Reads records from an offset on, waiting up to `wait_ms` milliseconds when there
    /// are none yet.
    ///
    /// # Errors
    ///
    /// [`LogError::Truncated`] when the log no longer retains `from`.
    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: Offset,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<LogPage, LogError>>;
}
