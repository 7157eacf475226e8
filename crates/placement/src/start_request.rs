use types::{AttemptKey, EntryName, Resources};

types::plain! {
    /// Request from an entry to an agent to start an attempt.
    pub struct StartRequest {
        /// Attempt to start.
        pub key: AttemptKey,
        /// Entry that sends the request.
        pub entry: EntryName,
        /// Resources that the attempt is charged with.
        pub charge: Resources,
        /// Whether the entry spends an offer on the attempt.
        pub uses_offer: bool,
        /// Queue priority: lower ranks start first, equal ranks in order of arrival.
        pub rank: u64,
    }
}
