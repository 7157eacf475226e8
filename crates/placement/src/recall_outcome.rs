use types::AttemptKey;

types::plain! {
    /// Outcome of a recall at an agent.
    #[derive(Eq, Default)]
    pub struct RecallOutcome {
        /// Whether the attempt was queued and is now removed; it never starts.
        pub removed: bool,
        /// Queued attempts that start now because the recalled one no longer blocks them.
        pub start_next: Vec<AttemptKey>,
    }
}
