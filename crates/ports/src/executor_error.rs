use thiserror::Error;
use types::StepError;

/// The reason why an executor did not answer a task.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExecutorError {
    /// The task certainly did not start.
    #[error("not started: {0}")]
    NotStarted(StepError),
    /// The task ran and failed.
    #[error("failed: {0}")]
    Failed(StepError),
    /// The task may have started; its outcome is not known.
    #[error("outcome unknown: {0}")]
    Unknown(StepError),
}
