use types::Urgency;

types::plain! {
    /// Handle of a queued task.  A handle is not reused within a queue.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct Ticket {
        pub(crate) sequence: u64,
        pub(crate) team: usize,
        pub(crate) urgency: Urgency,
    }
}
