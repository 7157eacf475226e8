types::plain! {
    /// Creation times of ids that a lost owner may have started without a durable record.
    #[derive(Copy, Eq)]
    pub struct AmbiguousPeriod {
        /// First ambiguous creation time in Unix milliseconds.
        pub from_ms: u64,
        /// First creation time in Unix milliseconds that is not ambiguous any more.
        pub until_ms: u64,
    }
}

impl AmbiguousPeriod {
    /// Returns whether an id created at a time in Unix milliseconds is ambiguous.
    pub fn contains(&self, created_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&created_ms)
    }
}
