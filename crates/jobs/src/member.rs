use rpc::EntryIdentity;

types::plain! {
    /// Health of an entry process as another entry sees it.
    #[derive(Copy, Eq)]
    pub enum MemberHealth {
        /// It responds and may own partitions.
        Serving,
        /// It responds but is about to stop, and claims no partitions.
        Leaving,
        /// It does not respond to this entry, but some agent or entry has received a message
        /// from it recently.
        Unreachable,
        /// No agent or entry has received a message from it within the suspicion time.
        Dead,
    }

    /// An entry process with its health.
    pub struct Member {
        /// The process.
        pub entry: EntryIdentity,
        /// Its health.
        pub health: MemberHealth,
    }
}
