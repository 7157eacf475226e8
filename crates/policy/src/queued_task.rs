use types::{TeamName, Urgency};

types::plain! {
    /// A task to be queued.
    pub struct QueuedTask<T> {
        /// Team that pays for the slot time.
        pub team: TeamName,
        /// Present weight of the team; 0 counts as 1.
        pub weight: u32,
        /// Urgency class.
        pub urgency: Urgency,
        /// Predicted slot time in microseconds; 0 counts as 1.
        pub cost_us: u64,
        /// Time by which the task must have ended, in microseconds.
        pub deadline_us: u64,
        /// Memory held while queued, in bytes.
        pub bytes: usize,
        /// Data of the caller, which the queue does not interpret.
        pub item: T,
    }
}
