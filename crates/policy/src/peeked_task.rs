use types::{TeamName, Urgency};

use crate::Ticket;

types::plain! {
    /// The task that the next pop would return.
    pub struct PeekedTask<'a, T> {
        /// Handle of the task.
        pub ticket: Ticket,
        /// Team that would be charged.
        pub team: &'a TeamName,
        /// Urgency class.
        pub urgency: Urgency,
        /// Predicted slot time in microseconds.
        pub cost_us: u64,
        /// Time by which the task must have ended, in microseconds.
        pub deadline_us: u64,
        /// Data of the caller, which the queue does not interpret.
        pub item: &'a T,
    }
}
