types::settings! {
    /// Capacity of an [`ExecutorServer`](crate::ExecutorServer).
    #[serde(default)]
    pub struct ExecutorSettings {
        /// Tasks that run at full speed concurrently; a larger number slows all of them down in
        /// proportion.
        pub slots: u32,
        /// Connections that may submit tasks; tasks on further connections are refused.
        pub connections: usize,
        /// Speed relative to the nominal run times; 2 halves them.
        pub speed: f64,
        /// Nominal run time in milliseconds of tasks that do not state `run_ms`.
        pub default_run_ms: f64,
    }
}

impl Default for ExecutorSettings {
    fn default() -> Self {
        Self { slots: 8, connections: 64, speed: 1.0, default_run_ms: 100.0 }
    }
}
