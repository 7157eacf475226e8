use types::AttemptKey;

types::plain! {
    /// Effects of the end of an attempt.
    #[derive(Eq, Default)]
    pub struct FinishOutcome {
        /// Waiting attempts that start now.
        pub start_next: Vec<AttemptKey>,
        /// Change of the number of slots offered to the entry, to be sent in the reply.
        pub offers_delta: i32,
    }
}
