use thiserror::Error;
use types::StepError;

/// A failed operation on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WorkerError {
    /// The operation certainly had no effect.
    #[error("worker refused: {0}")]
    Refused(StepError),
    /// The worker does not know the lease.
    #[error("worker does not know the lease: {0}")]
    UnknownLease(StepError),
    /// No response arrived; the operation may have taken effect.
    #[error("worker did not answer: {0}")]
    NoAnswer(StepError),
}
