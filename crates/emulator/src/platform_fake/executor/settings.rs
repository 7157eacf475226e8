types::settings! {
    /// Settings of a [`FakeExecutor`].
    #[derive(Eq)]
    pub struct FakeExecutorSettings {
        /// Name of the executor's machine, and the executor's id unless that is renewed.
        pub id: String,
        /// Whether each incarnation has an id of its own, which begins with that of the machine.
        pub renews_id: bool,
        /// Pool to which it belongs.
        pub pool: String,
        /// Availability zone.
        pub zone: String,
        /// Processor capacity in thousandths of a core.
        pub milli_cores: u32,
        /// Run time of a task in milliseconds, unless its payload is `run_ms=N`.
        pub run_ms: u64,
    }

    /// How a [`FakeExecutor`] measures time.
    #[derive(Copy, Eq, Default)]
    pub struct FakeExecutorClock {
        /// By how much its clock is slower than real time, percent; less than 100.
        pub slow_percent: u64,
        /// Time from the end of the lease until its runs have ended, milliseconds. The platform
        /// promises none.
        pub lapse_lag_ms: u64,
        /// Whether a run ends no sooner than the executor gets to it. Without it, runs that are stopped
        /// or whose lease expires end in time, however late the process is.
        pub is_late_when_starved: bool,
    }

    /// Faults of a [`FakeExecutor`].
    #[derive(Copy, Eq, Default)]
    pub struct FakeExecutorFaults {
        /// It accepts requests and responds to none.
        pub is_unresponsive: bool,
        /// Number of further starts that get no response and take effect late, after 2 seconds.
        pub late_starts: u32,
        /// Share of starts and stops, percent, that get no response and take effect late, after 2
        /// seconds.
        pub late_percent: u64,
        /// Every run that completes is reported as failed.
        pub fails_all: bool,
        /// Its heartbeats report that it is draining.
        pub is_draining: bool,
        /// Start of the names of tasks that crash it when they start. It loses all its runs and is
        /// back as another incarnation after 300 ms.
        #[serde(borrow)]
        pub crashed_by: Option<&'static str>,
        /// Time from a stop until the run has ended, milliseconds.
        pub stop_ms: u64,
        /// What its lists show of a run during this time.
        pub stopping_runs: StoppingRuns,
    }

    /// What the lists of an executor show of runs that are being stopped.
    #[derive(Copy, Eq, Default)]
    pub enum StoppingRuns {
        /// They are listed as running.
        #[default]
        Running,
        /// They are listed neither as running nor as ended.
        Unlisted,
    }
}
