types::plain! {
    /// Decision of the retry policy on a task whose attempt ended without an answer.
    #[derive(Copy, Eq)]
    pub enum RetryDecision {
        /// Start the task again if the terms of its job allow that.
        Retry,
        /// Fail the job.
        GiveUp,
    }
}
