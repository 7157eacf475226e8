use thiserror::Error;

use crate::answers::AnswerError;

/// The reason why a task ended without an answer.
#[derive(Debug, Error)]
pub(crate) enum TaskError {
    /// The payload requested a failure.
    #[error("task fails")]
    Failed,
    /// The function cannot answer the payload.
    #[error(transparent)]
    Answer(#[from] AnswerError),
}
