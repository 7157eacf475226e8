use types::{Epoch, Incarnation, Partition};

use crate::{EntryIdentity, LoadReport};

types::wire! {
    /// A partition and the epoch in which the sender owns it.
    #[derive(Copy, Eq)]
    pub struct OwnedPartition {
        /// The partition.
        pub partition: Partition,
        /// The owner's epoch.
        pub epoch: Epoch,
    }

    /// Handshake: the first message of an entry on a link.  It is repeated when the partitions that
    /// the entry owns change, and to confirm that no agent knows a newer owner of them.
    pub struct Hello {
        /// The entry.
        pub entry: EntryIdentity,
        /// Partitions that the entry owns.
        pub owned: Vec<OwnedPartition>,
        /// Whether the connection is new; the agent then resets the offers to the entry.
        pub is_new_link: bool,
    }

    /// An agent's reply to [`Hello`].
    pub struct HelloReply {
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Milliseconds since the agent started; it does not know attempts from before that.
        pub memory_ms: u64,
        /// Number of slots now offered to the entry, which replaces earlier offers; `None` if the
        /// connection is not new.
        pub offers: Option<u32>,
        /// Whether the agent knows a newer owner of any of the partitions.
        pub is_stale: bool,
        /// Load of the agent.
        pub load: LoadReport,
    }
}
