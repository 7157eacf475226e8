use std::fmt;

use types::UpstreamName;

use crate::HealthState;

types::plain! {
    /// A change of an upstream's health state, for logs and metrics.
    #[derive(Eq)]
    pub struct HealthChange {
        /// The upstream.
        pub upstream: UpstreamName,
        /// State before the change.
        pub from: HealthState,
        /// State after the change.
        pub to: HealthState,
        /// Time of the change in microseconds.
        pub at_us: u64,
        /// Number of consecutive ejections, less those forgotten after a healthy time.
        pub recent_ejections: u32,
    }
}

impl fmt::Display for HealthChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { upstream, from, to, recent_ejections, .. } = self;
        write!(f, "upstream {upstream}: {from} to {to}, {recent_ejections} recent ejections")
    }
}
