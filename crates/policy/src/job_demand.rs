use types::{TeamName, Urgency};

types::plain! {
    /// Slot time that a job needs and its deadline, by which admission decides.
    pub struct JobDemand {
        /// Team of the caller.
        pub team: TeamName,
        /// Weight of the team's share; 0 counts as 1.
        pub weight: u32,
        /// Slots that the team may occupy at once; `None` means no limit.
        pub quota_slots: Option<u32>,
        /// Urgency class.
        pub urgency: Urgency,
        /// Predicted slot time of all tasks in microseconds at speed 1.
        pub total_cost_us: u64,
        /// Predicted run time of the longest task in microseconds at the pool's speeds.
        pub longest_task_us: u64,
        /// Time by which the job must be answered, in microseconds.
        pub deadline_us: u64,
    }
}
