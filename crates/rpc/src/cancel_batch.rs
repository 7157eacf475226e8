use types::AttemptKey;

types::wire! {
    /// Attempts that an entry withdraws from one agent.
    pub struct CancelBatch {
        /// Attempts to remove from the queue and, with `stop_running`, to stop.
        pub keys: Vec<AttemptKey>,
        /// Whether running attempts are stopped too; otherwise only queued ones are recalled.
        pub stop_running: bool,
    }
}
