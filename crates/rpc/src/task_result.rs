use thiserror::Error;
use types::Answer;

types::wire! {
    /// Reason why an attempt has not started and never will.
    #[derive(Eq, Error)]
    pub enum NotStarted {
        /// The agent is leaving.
        #[error("agent is leaving")]
        Leaving,
        /// The agent's queue is full.
        #[error("queue of the agent is full")]
        QueueFull,
        /// The deadline passed while the attempt was queued.
        #[error("deadline passed in the queue")]
        Expired,
        /// The entry recalled or cancelled the attempt.
        #[error("recalled by the entry")]
        Recalled,
        /// The agent knows a newer owner of the partition.
        #[error("owner's epoch is stale")]
        StaleEpoch,
        /// The request is for another incarnation of the agent.
        #[error("agent has restarted")]
        OtherIncarnation,
        /// The attempt needs more resources than the worker has.
        #[error("resources of the worker do not suffice")]
        NoResources,
        /// The lease on the worker lapsed before the start.
        #[error("lease lapsed before the start")]
        LeaseLapsed,
        /// The executor or the worker refused the task or could not be reached; holds the error.
        #[error("executor did not take the task: {0}")]
        Executor(String),
    }

    /// Result of an attempt.
    pub enum TaskResult {
        /// The upstream returned an answer.
        Done(Answer),
        /// The attempt ran and failed; holds the error message.
        Failed(String),
        /// The attempt has not started and never will.
        NotStarted(NotStarted),
        /// The attempt may have run and its outcome is unknown; holds the reason.
        Unknown(String),
    }
}
