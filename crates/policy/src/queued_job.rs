use types::{TeamName, Urgency};

types::plain! {
    /// The tasks of a job, to be queued together.
    pub struct QueuedJob<T> {
        /// Team that pays for the slot time.
        pub team: TeamName,
        /// Present weight of the team; 0 counts as 1.
        pub weight: u32,
        /// Urgency class.
        pub urgency: Urgency,
        /// Time by which each task must have ended, in microseconds.
        pub deadline_us: u64,
        /// Tasks in the order in which they are queued.
        pub tasks: Vec<JobTask<T>>,
    }

    /// One task of a [`QueuedJob`].
    pub struct JobTask<T> {
        /// Predicted slot time in microseconds; 0 counts as 1.
        pub cost_us: u64,
        /// Memory held while queued, in bytes.
        pub bytes: usize,
        /// Data of the caller, which the queue does not interpret.
        pub item: T,
    }
}
