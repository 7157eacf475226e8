use std::net::SocketAddr;

use types::{EntryName, Incarnation};

types::wire! {
    /// Identity of one incarnation of an entry process.
    #[derive(Eq, Hash)]
    pub struct EntryIdentity {
        /// Name of the entry, which stays the same across restarts.
        pub name: EntryName,
        /// Incarnation, which changes with each start of the process.
        pub incarnation: Incarnation,
        /// Address of the listener for agents and other entries.
        pub addr: SocketAddr,
    }
}
