use types::{Incarnation, UpstreamName};

use crate::EntriesDigest;

types::wire! {
    /// Confirms, in place of a full announcement, that an agent has not changed since its latest
    /// one.
    pub struct Renewal {
        /// Name of the upstream.
        pub upstream: UpstreamName,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Sequence number of the latest announcement.
        pub sequence: u64,
    }

    /// An entry's reply to a renewal.
    #[derive(Copy, Eq)]
    pub struct RenewalReply {
        /// Whether the entry has the announcement; if not, the agent has to announce again.
        pub is_known: bool,
        /// Digest of the entries that the reply to an announcement would list.  If it differs from
        /// the latest such reply, the agent announces again.
        pub entries: EntriesDigest,
    }
}
