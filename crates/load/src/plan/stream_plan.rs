use serde_json::{Map, Value};
use types::{KindName, Name, ServiceName, TeamName};

use crate::{Arrivals, Rate, RunTime, TaskCount};

types::settings! {
    /// A stream of jobs of one kind by one team.
    pub struct StreamPlan {
        /// Name in the report.
        pub name: Name,
        /// The team.
        pub team: TeamName,
        /// Bearer token of the team.
        pub token: String,
        /// The service.
        pub service: ServiceName,
        /// The kind of request; its urgency follows from the configuration of the service.
        pub kind: KindName,
        /// Deadline stated with each job, in milliseconds.
        pub deadline_ms: u64,
        /// Mean rate of jobs.
        pub rate: Rate,
        /// Distribution of the arrivals over time.
        #[serde(default)]
        pub arrivals: Arrivals,
        /// Tasks in a job.
        #[serde(default)]
        pub tasks: TaskCount,
        /// Nominal run time of a task.
        pub run_time: RunTime,
        /// Fields of every payload; the run adds `run_ms` and `echo`.
        #[serde(default)]
        pub payload: Map<String, Value>,
        /// Whether a task may be started again after an attempt has failed.
        #[serde(default = "default_idempotent")]
        pub idempotent: bool,
        /// Percentage of jobs with one task that fails at every attempt.
        #[serde(default)]
        pub fail_percent: f64,
        /// Percentage of jobs that are submitted a second time, to the next target.
        #[serde(default)]
        pub resubmit_percent: f64,
        /// Time between the first and the second submission, in milliseconds.
        #[serde(default)]
        pub resubmit_after_ms: u64,
    }
}

fn default_idempotent() -> bool {
    true
}

impl StreamPlan {
    /// Returns the mean work of a job in seconds of nominal run time.
    pub(crate) fn mean_work_s(&self) -> f64 {
        const MS_PER_S: f64 = 1_000.0;
        self.tasks.mean() * self.run_time.mean_ms() / MS_PER_S
    }
}
