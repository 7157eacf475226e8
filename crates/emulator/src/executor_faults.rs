use types::{JobId, TaskIndex};

use crate::FaultSet;

types::settings! {
    /// A task that fails at once when it is started.
    #[derive(Copy, Eq)]
    pub struct FailedTask {
        /// The job.
        pub job: JobId,
        /// The position of the task in the job.
        pub index: TaskIndex,
    }

    /// Faults of an [`ExecutorServer`](crate::ExecutorServer).
    #[serde(default)]
    pub struct ExecutorFaults {
        /// Starts every task and fails it at once.
        pub fail_all: bool,
        /// Tasks that fail at once.
        pub fail_tasks: Vec<FailedTask>,
        /// Run times are multiplied by this factor.
        pub slow_factor: f64,
        /// Starts tasks and never responds to them.
        pub silent: bool,
        /// Refuses every task and reports it as not run.
        pub refuse: bool,
        /// Number of further tasks that run to completion but whose response is lost.
        pub lose_answers: u32,
        /// Makes the connections that are open now silent for the rest of their life: they carry no
        /// data and are not reset.
        pub silence_connections: bool,
        /// Closes the port, resets every connection and aborts every task.
        pub dead: bool,
        /// Clears every fault after this many milliseconds.
        pub clear_after_ms: Option<u64>,
    }
}

impl Default for ExecutorFaults {
    fn default() -> Self {
        Self {
            fail_all: false,
            fail_tasks: Vec::new(),
            slow_factor: 1.0,
            silent: false,
            refuse: false,
            lose_answers: 0,
            silence_connections: false,
            dead: false,
            clear_after_ms: None,
        }
    }
}

impl ExecutorFaults {
    /// Returns whether the faults make a task fail at once.
    pub(crate) fn fails(&self, job: JobId, index: TaskIndex) -> bool {
        self.fail_all || self.fail_tasks.contains(&FailedTask { job, index })
    }
}

impl FaultSet for ExecutorFaults {
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
