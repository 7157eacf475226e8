use types::Resources;

types::settings! {
    /// Capacity of a [`WorkerServer`](crate::WorkerServer).
    #[serde(default)]
    pub struct WorkerSettings {
        /// Resources that tasks share; demand beyond them slows all tasks down in proportion.
        pub capacity: Resources,
        /// Speed relative to the nominal run times; 2 halves them.
        pub speed: f64,
        /// Nominal run time in milliseconds of tasks that do not state `run_ms`.
        pub default_run_ms: f64,
        /// Age of usage reports in milliseconds.
        pub usage_lag_ms: u64,
    }
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            capacity: Resources { milli_cores: 32_000, memory_mb: 65_536, accelerators: 0 },
            speed: 1.0,
            default_run_ms: 100.0,
            usage_lag_ms: 1_000,
        }
    }
}
