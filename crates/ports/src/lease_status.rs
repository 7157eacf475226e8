use types::Answer;

types::wire! {
    /// Status of the task under a lease.
    #[serde(rename_all = "snake_case")]
    pub enum LeaseStatus {
        /// The task is running.
        Running,
        /// The task ended with an answer.
        Finished(Answer),
        /// The task ended with an error.
        Failed(String),
        /// The holder stopped the task.
        Stopped,
        /// The lease lapsed, and the worker stopped the task.
        Lapsed,
    }
}

impl LeaseStatus {
    /// Returns whether the task has ended.
    pub fn is_ended(&self) -> bool {
        !matches!(self, Self::Running)
    }
}
