use types::{TeamName, Urgency};

types::plain! {
    /// Slot time charged to a team when one of its tasks left the queue to be started.
    #[derive(Eq)]
    pub struct Charge {
        /// Team that was charged.
        pub team: TeamName,
        /// Urgency class of the task.
        pub urgency: Urgency,
        /// Predicted slot time in microseconds.
        pub cost_us: u64,
        pub(crate) by_floor: bool,
    }
}

impl Charge {
    /// Returns whether the task was taken ahead of more urgent work of its team because
    /// its class was below its floor.
    pub fn by_floor(&self) -> bool {
        self.by_floor
    }
}
