use std::net::SocketAddr;

use types::{Incarnation, Location, PoolName, Resources, UpstreamName};

use crate::EntryIdentity;

types::wire! {
    /// Identity of one incarnation of an agent process and a description of its upstream.
    pub struct AgentIdentity {
        /// Name of the upstream.
        pub upstream: UpstreamName,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Address of the agent's listener for entries.
        pub addr: SocketAddr,
        /// Pool that the upstream belongs to.
        pub pool: PoolName,
        /// Region, zone and rack of the upstream.
        pub location: Location,
        /// Number of tasks that the upstream runs at once.
        pub slots: u32,
        /// Number of connections that the upstream accepts.
        pub connections: u32,
        /// Resources of the upstream.
        pub capacity: Resources,
    }

    /// Whether an upstream accepts new attempts.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// It accepts new attempts.
        Serving,
        /// It finishes its running attempts and then leaves.
        Leaving,
    }

    /// State of an agent, sent to each entry.  A higher sequence number replaces lower ones of
    /// the same incarnation.
    pub struct Announcement {
        /// Identity of the agent.
        pub agent: AgentIdentity,
        /// State of the upstream.
        pub state: MemberState,
        /// Sequence number within the incarnation, from 1.
        pub sequence: u64,
    }

    /// An entry's reply to an announcement.
    pub struct AnnouncementReply {
        /// The entry that replies.
        pub entry: EntryIdentity,
        /// Entries that it knows, itself included, so that agents find entries that their settings
        /// do not name.
        pub entries: Vec<EntryIdentity>,
    }
}
