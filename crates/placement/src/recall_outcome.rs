use types::AttemptKey;

types::plain! {
    /// Outcome of a recall.
    #[derive(Eq, Default)]
    pub struct RecallOutcome {
        /// Whether the attempt waited and is removed; it never starts.
        pub removed: bool,
        /// Waiting attempts that start now because the recalled one no longer blocks them.
        pub start_next: Vec<AttemptKey>,
    }
}
