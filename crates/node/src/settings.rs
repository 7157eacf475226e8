use std::{net::SocketAddr, sync::Arc};

use direct::Timing;
use settings::{Faults, Validate};

types::settings! {
    /// Settings of an entry for direct jobs.
    #[derive(Eq)]
    pub struct DirectEntrySettings {
        /// Name of the host.
        pub name: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Where callers connect.
        pub callers: SocketAddr,
        /// Where the platform asks whether this process is ready.
        pub readiness: SocketAddr,
        /// Where agents and other entries connect.
        pub links: SocketAddr,
        /// Where metrics are fetched.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// The platform's store.
        pub store: SocketAddr,
        /// Hosts of entries that may be known already; their port is that of `links`.
        #[serde(default)]
        pub seeds: Option<Vec<SocketAddr>>,
        /// Longest time from a signal to stop to the end, milliseconds.
        pub grace_ms: u64,
        /// Times that the end of runs depends on.
        #[serde(default)]
        pub timing: Timing,
    }

    /// Settings of an agent for direct jobs.
    #[derive(Eq)]
    pub struct DirectAgentSettings {
        /// Name of the host.
        pub name: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Where the upstream on this machine sends its heartbeats.
        pub control: SocketAddr,
        /// The upstream on this machine.
        pub upstream: SocketAddr,
        /// Port at which entries take connections of agents.
        pub links_port: u16,
        /// Where metrics are fetched.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// The platform's store.
        pub store: SocketAddr,
        /// Hosts of entries that may be known already.
        #[serde(default)]
        pub seeds: Option<Vec<SocketAddr>>,
        /// Longest time from a signal to stop to the end, milliseconds.
        pub grace_ms: u64,
        /// Times that the end of runs depends on.
        #[serde(default)]
        pub timing: Timing,
    }
}

fn check_timing(timing: &Timing, faults: &mut Faults) {
    if let Err(e) = timing.check() {
        faults.require(false, "timing", &e.to_string());
    }
}

impl Validate for DirectEntrySettings {
    fn validate(&self, faults: &mut Faults) {
        check_timing(&self.timing, faults);
    }
}

impl Validate for DirectAgentSettings {
    fn validate(&self, faults: &mut Faults) {
        check_timing(&self.timing, faults);
    }
}
