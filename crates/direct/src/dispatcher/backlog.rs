//! How long overload has lasted.
//!
//! Load pattern: a backlog that arrives at once, for example when all callers return after a
//! restart, or before the agents have connected to a new entry. Refusing what waits after the time
//! that suits lasting overload turns callers away whom the next tenths of a second could serve.

/// Time for which jobs may wait without interruption before overload counts as lasting,
/// milliseconds.
const BRIEF_OVERLOAD_MS: u64 = 600;

types::plain! {
    /// Since when there have been jobs without an agent.
    #[derive(Default)]
    pub(crate) struct Backlog {
        since_ms: Option<u64>,
    }
}

impl Backlog {
    /// Records whether a round of placement has left jobs without an agent.
    pub(crate) fn record(&mut self, is_left: bool, now_ms: u64) {
        self.since_ms = is_left.then(|| self.since_ms.unwrap_or(now_ms));
    }

    /// Returns whether the present overload, if there is one, is still brief.
    pub(crate) fn is_brief(&self, now_ms: u64) -> bool {
        self.since_ms.is_none_or(|since_ms| now_ms < since_ms + BRIEF_OVERLOAD_MS)
    }
}
