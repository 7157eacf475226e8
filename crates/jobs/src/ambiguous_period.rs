types::plain! {
    /// A period of creation times. Jobs whose ids were created in it may have been started by a
    /// lost owner without a durable record, so that their outcome is unknown.
    #[derive(Copy, Eq)]
    pub struct AmbiguousPeriod {
        /// Start of the period in Unix milliseconds, inclusive.
        pub from_ms: u64,
        /// End of the period in Unix milliseconds, exclusive.
        pub until_ms: u64,
    }
}

impl AmbiguousPeriod {
    /// Returns whether a creation time in Unix milliseconds lies within the period.
    pub fn contains(&self, created_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&created_ms)
    }
}
