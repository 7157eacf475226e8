use types::Answer;

types::wire! {
    /// State of the task under a lease.
    #[serde(rename_all = "snake_case")]
    pub enum LeaseStatus {
        /// The task runs.
        Running,
        /// The task ended with an answer.
        Finished(Answer),
        /// The task ended with an error.
        Failed(String),
        /// The holder stopped the task.
        Stopped,
        /// The lease lapsed, which stopped the task.
        Lapsed,
    }
}

impl LeaseStatus {
    /// Returns whether the task has ended.
    pub fn is_ended(&self) -> bool {
        !matches!(self, Self::Running)
    }
}
