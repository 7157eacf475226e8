use services::Version;

use crate::EntryIdentity;

types::wire! {
    /// An entry with which another entry has had contact.
    pub struct PeerContact {
        /// The entry.
        pub entry: EntryIdentity,
        /// Milliseconds since its last reply to a probe.
        #[serde(rename = "ago_ms")]
        pub last_reply_age_ms: u64,
    }

    /// An entry's reply to a probe by another entry.
    pub struct ProbeReply {
        /// The entry that replies.
        pub entry: EntryIdentity,
        /// Whether it is leaving the cluster.
        pub is_leaving: bool,
        /// Version of its configuration in force.
        pub version: Version,
        /// Other entries with which it has had contact.
        #[serde(rename = "heard")]
        pub contacts: Vec<PeerContact>,
    }

    /// A configuration, sent from one entry to another.
    pub struct PeerConfig {
        /// Version of the configuration.
        pub version: Version,
        /// The configuration as JSON text.
        pub config: String,
    }
}
