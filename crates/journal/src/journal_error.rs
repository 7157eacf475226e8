use thiserror::Error;
use types::StepError;

/// Error of a [`crate::Writer`]: a body was not accepted, or its durability is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JournalError {
    /// The backlog is at its limit; the body was not accepted and will not be written.
    #[error("backlog of the journal is full at {limit_bytes} bytes: {cause}")]
    Full {
        /// Limit of the backlog in bytes.
        limit_bytes: usize,
        /// Step that failed, with the stream.
        cause: StepError,
    },
    /// The body is too large for one record; it was not accepted and will not be written.
    #[error("body of {bytes} bytes exceeds the limit of {limit_bytes} bytes: {cause}")]
    TooLarge {
        /// Size of the encoded body in bytes.
        bytes: usize,
        /// Limit of the bodies of one record in bytes.
        limit_bytes: usize,
        /// Step that failed, with the stream.
        cause: StepError,
    },
    /// The body cannot be encoded; it was not accepted and will not be written.
    #[error("body cannot be encoded: {0}")]
    Encoding(StepError),
    /// The log is not available; the body was not accepted and will not be written.
    #[error("log is not available: {0}")]
    Unavailable(StepError),
    /// The writer has stopped; the body may have been written.
    #[error("writer has stopped: {0}")]
    Stopped(StepError),
}
