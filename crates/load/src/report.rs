use types::{Name, TeamName};

use crate::{Counts, Distribution, Window};

types::wire! {
    /// Report of a load run.
    pub struct Report {
        /// Results by window.
        pub windows: Vec<WindowReport>,
        /// Outcomes of all jobs, inside and outside of the windows.
        pub total: Counts,
        /// Number of jobs that were submitted a second time.
        pub resubmitted: u64,
        /// Number of requests to cancel a job that an entry confirmed.
        pub cancels: u64,
        /// Time between the planned and the actual sending of a job, in milliseconds.
        pub send_lag_ms: Distribution,
        /// Starts of tasks at the executors.
        pub starts: StartsReport,
        /// Growth of the counters that the plan names.
        pub counters: Vec<CounterReport>,
        /// Errors of faults that could not be injected.
        pub faults_not_set: Vec<String>,
        /// The first distinct causes of errors.
        pub error_samples: Vec<String>,
        /// Time from the start of the run to its last reply or step, in seconds.
        pub elapsed_s: f64,
    }

    /// Results of the streams in one window.
    pub struct WindowReport {
        /// The window.
        pub window: Window,
        /// Results in the order of the plan.
        pub streams: Vec<StreamReport>,
    }

    /// Result of one stream in one window.
    pub struct StreamReport {
        /// The stream.
        pub stream: Name,
        /// Its team.
        pub team: TeamName,
        /// Outcomes.
        pub counts: Counts,
        /// Work sent a second, in seconds of nominal run time.
        pub offered_slots: f64,
        /// Work a second of jobs that were sent in the window and completed, in seconds of
        /// nominal run time.
        pub complete_slots: f64,
        /// Work a second of jobs whose complete answer arrived in the window, in seconds of
        /// nominal run time.
        pub goodput_slots: f64,
        /// Response times of complete jobs in milliseconds.
        pub response_ms: Distribution,
        /// Response time of complete jobs divided by the ideal one.
        pub over_ideal: Distribution,
        /// Response time of complete jobs minus the longest run among their tasks, as measured by
        /// the executors, in milliseconds.
        pub overhead_ms: Distribution,
    }

    /// Starts of this run's tasks, as reported by the executors.
    #[derive(Eq, Default)]
    pub struct StartsReport {
        /// Starts of tasks of this run.
        pub starts: u64,
        /// Tasks started at least once.
        pub tasks: u64,
        /// Tasks started more than once.
        pub repeated_tasks: u64,
        /// Attempts started more than once, which is a violation for every kind.
        pub repeated_attempts: u64,
        /// Tasks of kinds that are not idempotent started more than once.
        pub repeated_not_idempotent: u64,
        /// Jobs that were reported as not run although a task was started.
        pub false_not_run: u64,
        /// Executors that did not report their starts.
        pub silent_executors: u64,
    }

    /// Growth of a counter during the run.
    pub struct CounterReport {
        /// Name as in the plan.
        pub name: String,
        /// Growth over all pages.
        pub growth: f64,
    }
}

impl Report {
    /// Returns the number of violated guarantees: complete answers that don't belong to the job,
    /// duplicates with different outcomes, attempts and non-idempotent tasks started more than
    /// once, and jobs falsely reported as not run.
    pub fn violations(&self) -> u64 {
        let starts = &self.starts;
        self.total.mismatched
            + self.total.duplicates_differ
            + starts.repeated_attempts
            + starts.repeated_not_idempotent
            + starts.false_not_run
    }
}
