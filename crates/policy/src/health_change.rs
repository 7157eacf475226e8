use std::fmt;

use types::UpstreamName;

use crate::HealthState;

types::plain! {
    /// A change of an upstream's state, for logs and metrics.
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
        /// Ejections in a row, less those that were outlived.
        pub recent_ejections: u32,
    }
}

impl fmt::Display for HealthChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { upstream, from, to, recent_ejections, .. } = self;
        write!(f, "upstream {upstream}: {from} to {to}, {recent_ejections} recent ejections")
    }
}
