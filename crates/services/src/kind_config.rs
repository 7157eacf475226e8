use types::{Resources, Urgency};

use crate::Acceptance;

types::settings! {
    /// Configuration of one kind of request.
    pub struct KindConfig {
        /// Urgency class.
        #[serde(default)]
        pub urgency: Urgency,
        /// Whether a task may be started again after an attempt has ended in failure.
        pub idempotent: bool,
        /// When acceptance must be durable; kinds that are not idempotent always use
        /// [`Acceptance::BeforeStart`].
        #[serde(default)]
        pub acceptance: Acceptance,
        /// Deadline in milliseconds for jobs without one.
        pub default_deadline_ms: u64,
        /// Longest deadline in milliseconds that a job may have.
        pub max_deadline_ms: u64,
        /// Declared run time of a task in milliseconds on an upstream of speed 1.
        pub expected_run_ms: u64,
        /// Declared resources of a task.
        #[serde(default)]
        pub resources: Resources,
        /// Most attempts at one task; must be 1 unless the kind is idempotent.
        #[serde(default = "default_max_attempts")]
        pub max_attempts: u16,
    }
}

fn default_max_attempts() -> u16 {
    1
}
