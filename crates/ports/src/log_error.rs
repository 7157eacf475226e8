use thiserror::Error;
use types::StepError;

use crate::{Offset, StreamName};

/// A failed operation on the log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The operation certainly had no effect.
    #[error("log refused: {0}")]
    Refused(StepError),
    /// No answer came; an append may have taken effect.
    #[error("log did not answer: {0}")]
    NoAnswer(StepError),
    /// The offset is older than the oldest record kept.
    #[error("stream {stream} no longer keeps offset {from}; the oldest is {oldest}")]
    Truncated {
        /// The stream.
        stream: StreamName,
        /// The offset that was asked for.
        from: Offset,
        /// The oldest offset kept.
        oldest: Offset,
    },
    /// The answer breaks the log's contract: another stream, or offsets that jump.
    #[error("log answered wrongly: {0}")]
    Malformed(StepError),
}
