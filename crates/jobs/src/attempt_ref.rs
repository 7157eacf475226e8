use types::{AttemptKey, Incarnation, UpstreamName};

types::plain! {
    /// An attempt and the agent that it was sent to.
    #[derive(Eq)]
    pub struct AttemptRef {
        /// The attempt.
        pub key: AttemptKey,
        /// Upstream that the agent serves.
        pub upstream: UpstreamName,
        /// Incarnation of the agent that received the attempt.
        pub agent: Incarnation,
    }
}
