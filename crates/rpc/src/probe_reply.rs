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

    /// An entry's answer to a probe.
    pub struct ProbeReply {
        /// The entry that answers.
        pub entry: EntryIdentity,
        /// Whether it is stopping.
        pub is_leaving: bool,
        /// Version of the configuration that it has in force.
        pub version: Version,
        /// Other entries with which it has had contact.
        #[serde(rename = "heard")]
        pub contacts: Vec<PeerContact>,
    }

    /// A configuration as one entry gives it to another.
    pub struct PeerConfig {
        /// Version.
        pub version: Version,
        /// The configuration as JSON text.
        pub config: String,
    }
}
