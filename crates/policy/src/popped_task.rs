use crate::{Charge, Ticket};

types::plain! {
    /// A task that left the queue to be started.
    pub struct PoppedTask<T> {
        /// Handle that the task had while queued.
        pub ticket: Ticket,
        /// Charge to settle once the actual slot time is known.
        pub charge: Charge,
        /// Time by which the task must have ended, in microseconds.
        pub deadline_us: u64,
        /// Data of the caller, which the queue does not interpret.
        pub item: T,
    }
}
