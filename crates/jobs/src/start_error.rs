//! Outcome of a request to start an attempt: permission or the reason against it.

use rpc::OwnedPartition;
use thiserror::Error;
use types::{AttemptKey, Payload};

types::plain! {
    /// Permission to send one attempt to one agent.
    pub struct StartPermit {
        /// The attempt.
        pub key: AttemptKey,
        /// Partition of the job and the epoch of its owner.
        pub owned: OwnedPartition,
        /// Payload of the task.
        pub payload: Payload,
    }
}

/// Why an attempt at a task must not be started or sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The job is not in progress here.
    #[error("job is not in progress here")]
    NoSuchJob,
    /// The job has no such task.
    #[error("job has no such task")]
    NoSuchTask,
    /// An attempt at the task is in progress, the task is answered, or its job waits for a
    /// resubmission.
    #[error("task is not waiting for a start")]
    NotWaiting,
    /// The attempt is not the current one of its task, or was sent to another upstream.
    #[error("attempt is not in progress at this upstream")]
    NotSent,
    /// The acceptance record of the job must be durable first.
    #[error("acceptance record of the job is not durable yet")]
    NotRecorded,
    /// The last confirmation of ownership has expired.
    #[error("last confirmation of ownership has expired")]
    Unconfirmed,
    /// The deadline of the job has passed.
    #[error("deadline of the job has passed")]
    DeadlinePassed,
}
