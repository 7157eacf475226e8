use std::time::Duration;

types::plain! {
    /// State of a [`crate::Writer`] and its backlog.
    #[derive(Copy)]
    pub struct WriterState {
        /// Memory held by bodies that are not durable yet, in bytes.
        pub backlog_bytes: usize,
        /// Bodies that are not durable yet.
        pub backlog_bodies: usize,
        /// Age of the oldest body that is not durable yet.
        pub oldest_unflushed: Option<Duration>,
        /// Time since the last record became durable.
        pub since_committed: Option<Duration>,
        /// Whether the last append succeeded; true before the first one.
        pub is_available: bool,
    }
}
