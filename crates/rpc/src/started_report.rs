use types::{AttemptKey, Incarnation};

use crate::{AttemptState, EntryIdentity, OwnedPartition};

types::wire! {
    /// Request by the new owner of partitions for the attempts that previous owners started.  The
    /// agent refuses starts with lower epochs from then on.
    pub struct StartedQuery {
        /// The new owner.
        pub entry: EntryIdentity,
        /// Partitions with the epochs of the new owner.
        pub partitions: Vec<OwnedPartition>,
    }

    /// An attempt that an agent knows, with its state.
    pub struct StartedAttempt {
        /// The attempt.
        pub key: AttemptKey,
        /// State of the attempt.
        pub state: AttemptState,
    }

    /// Reply to [`StartedQuery`].
    pub struct StartedReport {
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Milliseconds since the agent started; it does not know attempts from before that.
        pub memory_ms: u64,
        /// Attempts of these partitions that are queued, run or have ended.
        pub attempts: Vec<StartedAttempt>,
    }
}
