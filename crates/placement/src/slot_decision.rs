use thiserror::Error;

types::plain! {
    /// Reason why an agent refuses an attempt.  A refused attempt has not started.
    #[derive(Copy, Eq, Error)]
    pub enum SlotRefusal {
        /// The agent is leaving the cluster.
        #[error("agent is leaving")]
        Leaving,
        /// The agent's queue is full.
        #[error("queue of the agent is full")]
        QueueFull,
        /// The charge exceeds the whole capacity of the worker.
        #[error("attempt needs more resources than the worker has")]
        NoResources,
        /// The attempt is already running or queued.
        #[error("attempt is already known")]
        Duplicate,
    }

    /// Decision of an agent about a new attempt.
    #[derive(Copy, Eq)]
    pub enum SlotDecision {
        /// The attempt starts now.
        Start,
        /// The attempt waits in the agent's queue.
        Queue,
        /// The attempt is refused.
        Refuse(SlotRefusal),
    }
}
