types::plain! {
    /// Load of an agent at one moment, summed over all entries.
    #[derive(Copy, Eq, Default)]
    pub struct AgentLoad {
        /// Tasks running.
        pub running: u32,
        /// Tasks waiting at the agent.
        pub queued: u32,
        /// Idle slots that are reserved for no entry.
        pub free: u32,
    }
}
