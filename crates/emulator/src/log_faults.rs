use crate::FaultSet;

types::settings! {
    /// Faults of a [`LogServer`](crate::LogServer).
    #[derive(Eq, Default)]
    #[serde(default)]
    pub struct LogFaults {
        /// Refuses every operation with status 503; none takes effect.
        pub down: bool,
        /// Delay of every operation in milliseconds, before it takes effect.
        pub slow_ms: u64,
        /// Accepts requests and never responds; appends take no effect.
        pub silent: bool,
        /// Number of further appends that take effect but whose response is lost.
        pub lose_after_effect: u32,
        /// Number of further appends that take no effect and whose response is lost.
        pub lose_before_effect: u32,
        /// Maximum number of appends a second; overrides the settings.
        pub appends_per_second: Option<u32>,
        /// Maximum number of records retained in a stream; overrides the settings.
        pub keep_records: Option<u64>,
        /// Maximum age of a record in milliseconds; overrides the settings.
        pub keep_ms: Option<u64>,
        /// Appends take effect and never get a response.
        pub lose_answers: bool,
        /// Operations take effect and get a response that cannot be decoded.
        pub garbage_answers: bool,
        /// Number of further non-empty pages whose first record is replaced by garbage.
        pub garbage_records: u32,
        /// Makes the connections that are open now silent for the rest of their life: they carry no
        /// data and are not reset.
        pub silence_connections: bool,
        /// Closes the port and resets every connection; the records are retained.
        pub dead: bool,
        /// Clears every fault after this many milliseconds.
        pub clear_after_ms: Option<u64>,
    }
}

impl FaultSet for LogFaults {
    fn is_dead(&self) -> bool {
        self.dead
    }

    fn silences_connections(&self) -> bool {
        self.silence_connections
    }

    fn clear_after_ms(&self) -> Option<u64> {
        self.clear_after_ms
    }
}
