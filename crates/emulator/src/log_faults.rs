use crate::FaultSet;

types::settings! {
    /// Faults of a [`LogServer`](crate::LogServer).
    #[derive(Eq, Default)]
    #[serde(default)]
    pub struct LogFaults {
        /// Refuses every operation with 503; nothing takes effect.
        pub down: bool,
        /// Delay of every operation in milliseconds, before it takes effect.
        pub slow_ms: u64,
        /// Takes operations and never answers; appends take no effect.
        pub silent: bool,
        /// Number of coming appends that take effect and are not answered.
        pub lose_after_effect: u32,
        /// Number of coming appends that take no effect and are not answered.
        pub lose_before_effect: u32,
        /// Most appends a second in place of the one in the settings.
        pub appends_per_second: Option<u32>,
        /// Most records kept in a stream in place of the one in the settings.
        pub keep_records: Option<u64>,
        /// Longest age of a record in milliseconds in place of the one in the settings.
        pub keep_ms: Option<u64>,
        /// Appends take effect and are never answered.
        pub lose_answers: bool,
        /// Calls take effect and are answered with what cannot be read.
        pub garbage_answers: bool,
        /// Number of coming pages with records whose first record is garbage.
        pub garbage_records: u32,
        /// Makes the connections that are open now silent for good.
        pub silence_connections: bool,
        /// Closes the port and resets every connection; the records are kept.
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
