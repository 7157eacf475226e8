use thiserror::Error;
use types::StepError;

use crate::{Offset, StreamName};

/// A failed operation on the log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The operation certainly had no effect.
    #[error("log refused: {0}")]
    Refused(StepError),
    /// No response arrived; an append may have taken effect.
    #[error("log did not answer: {0}")]
    NoAnswer(StepError),
    /// The offset is older than the oldest retained record.
    #[error("stream {stream} no longer keeps offset {from}; the oldest is {oldest}")]
    Truncated {
        /// The stream.
        stream: StreamName,
        /// The requested offset.
        from: Offset,
        /// The oldest retained offset.
        oldest: Offset,
    },
    /// The response violates the log's contract: it is of another stream, or its offsets are not
    /// consecutive.
    #[error("log answered wrongly: {0}")]
    Malformed(StepError),
}
