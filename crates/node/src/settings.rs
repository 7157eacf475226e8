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
        /// Addresses of entries that may be known already; some may be gone.
        #[serde(default)]
        pub seeds: Option<Vec<SocketAddr>>,
        /// Port for links at the seeds, where their addresses name another one.
        #[serde(default)]
        pub seeds_port: Option<u16>,
        /// Longest time from a signal to stop to the end, milliseconds.
        pub grace_ms: u64,
        /// Whether decisions are written to standard output.
        #[serde(default = "default_log_decisions")]
        pub log_decisions: bool,
        /// Times that the end of runs depends on.
        #[serde(default)]
        pub timing: Timing,
    }

    /// Settings of an agent for direct jobs.
    #[derive(Eq)]
    pub struct DirectAgentSettings {
        /// Name of the host.
        pub name: Arc<str>,
        /// Where the upstream on this machine sends its heartbeats.
        pub control: SocketAddr,
        /// The upstream on this machine.
        pub upstream: SocketAddr,
        /// Where metrics are fetched.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// The platform's store.
        pub store: SocketAddr,
        /// Addresses of entries that may be known already; some may be gone.
        #[serde(default)]
        pub seeds: Option<Vec<SocketAddr>>,
        /// Port for links at the seeds, where their addresses name another one.
        #[serde(default)]
        pub seeds_port: Option<u16>,
        /// Longest time from a signal to stop to the end, milliseconds.
        pub grace_ms: u64,
        /// Whether decisions are written to standard output.
        #[serde(default = "default_log_decisions")]
        pub log_decisions: bool,
        /// Times that the end of runs depends on.
        #[serde(default)]
        pub timing: Timing,
    }
}

fn default_log_decisions() -> bool {
    true
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
