use thiserror::Error;

/// The reason why a task has no answer.
#[derive(Debug, Error)]
pub(crate) enum AnswerError {
    /// The payload lacks a field of its kind or has one of another type.
    #[error("payload: {0}")]
    Payload(serde_json::Error),
    /// The answer cannot be written as JSON.
    #[error("answer: {0}")]
    Answer(serde_json::Error),
}
