types::wire! {
    /// Load of an agent at one moment, summed over all entries.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Number of running tasks.
        pub running: u32,
        /// Number of tasks in the agent's queue.
        pub queued: u32,
        /// Number of slots that are idle and offered to no entry.
        pub free: u32,
    }
}
