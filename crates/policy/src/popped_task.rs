use crate::{Charge, Ticket};

types::plain! {
    /// A task that left the queue to be started.
    pub struct PoppedTask<T> {
        /// Handle that the task had while queued.
        pub ticket: Ticket,
        /// The charge, to be settled when the real slot time is known.
        pub charge: Charge,
        /// Time by which the task must have ended, in microseconds.
        pub deadline_us: u64,
        /// The caller's own data.
        pub item: T,
    }
}
