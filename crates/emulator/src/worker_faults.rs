use crate::FaultSet;

types::settings! {
    /// Faults of a [`WorkerServer`](crate::WorkerServer).
    #[serde(default)]
    pub struct WorkerFaults {
        /// Starts every task and fails it at once.
        pub fail_all: bool,
        /// Run times are multiplied by this factor.
        pub slow_factor: f64,
        /// Responds to no request; tasks continue and leases lapse.
        pub silent: bool,
        /// Number of further starts that take effect but whose response is lost.
        pub lose_answers: u32,
        /// Refuses requests for usage.
        pub usage_down: bool,
        /// Reported usage is multiplied by this factor.
        pub usage_factor: f64,
        /// Makes the connections that are open now silent for the rest of their life: they carry no
        /// data and are not reset.
        pub silence_connections: bool,
        /// Closes the port, resets every connection, aborts every task and removes its lease.
        pub dead: bool,
        /// Clears every fault after this many milliseconds.
        pub clear_after_ms: Option<u64>,
    }
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            fail_all: false,
            slow_factor: 1.0,
            silent: false,
            lose_answers: 0,
            usage_down: false,
            usage_factor: 1.0,
            silence_connections: false,
            dead: false,
            clear_after_ms: None,
        }
    }
}

impl FaultSet for WorkerFaults {
    fn is_dead(&self) -> bool {
        self.dead
    }

    fn silences_connections(&self) -> bool {
        self.silence_connections
    }

    fn slow_factor(&self) -> f64 {
        self.slow_factor
    }

    fn clear_after_ms(&self) -> Option<u64> {
        self.clear_after_ms
    }
}
