types::plain! {
    /// Verdict of the retry policy on a task whose attempt has ended without an answer.
    #[derive(Copy, Eq)]
    pub enum RetryDecision {
        /// Start it again if its terms allow.
        Retry,
        /// Fail the job.
        GiveUp,
    }
}
