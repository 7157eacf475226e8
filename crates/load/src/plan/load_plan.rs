use indexmap::IndexMap;
use types::ServiceName;

use crate::{CancelWave, FaultStep, Flood, MetricsPlan, ServiceCapacity, StreamPlan, Window};

types::settings! {
    /// The plan of a load run.
    pub struct LoadPlan {
        /// Seed of the schedule; the same plan and seed give the same schedule.
        pub seed: u64,
        /// Time during which jobs are sent, in seconds.
        pub duration_s: f64,
        /// Base URLs of the entries, used in turn; loopback addresses only.
        pub targets: Vec<String>,
        /// Base URLs of the executors whose starts are checked at the end.
        #[serde(default)]
        pub executors: Vec<String>,
        /// Capacity of the upstreams of each service.
        pub services: IndexMap<ServiceName, ServiceCapacity>,
        /// Streams of jobs.
        pub streams: Vec<StreamPlan>,
        /// Periods during which a team sends at a multiple of its rate.
        #[serde(default)]
        pub floods: Vec<Flood>,
        /// Times at which jobs in progress are cancelled.
        #[serde(default)]
        pub cancel_waves: Vec<CancelWave>,
        /// Faults that are injected into emulated servers.
        #[serde(default)]
        pub faults: Vec<FaultStep>,
        /// Parts of the run that are reported separately; the whole run when empty.
        #[serde(default)]
        pub windows: Vec<Window>,
        /// Counters that are read from the entries before and after the run.
        #[serde(default)]
        pub metrics: MetricsPlan,
        /// Maximum number of jobs of the run; a plan with more is an error.
        #[serde(default = "default_max_jobs")]
        pub max_jobs: usize,
        /// Maximum number of jobs in progress of one stream; further ones are counted as unsent.
        #[serde(default = "default_max_in_flight")]
        pub max_in_flight: usize,
    }
}

fn default_max_jobs() -> usize {
    1_000_000
}

fn default_max_in_flight() -> usize {
    4_000
}

impl LoadPlan {
    /// Returns the windows to report.
    pub(crate) fn report_windows(&self) -> Vec<Window> {
        if self.windows.is_empty() {
            let name = "all".to_owned();
            return vec![Window { name, from_s: 0.0, to_s: self.duration_s }];
        }
        self.windows.clone()
    }
}
