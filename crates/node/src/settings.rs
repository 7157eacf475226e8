use std::{net::SocketAddr, sync::Arc};

use direct::Timing;
use settings::{InvalidFields, Validate};

types::settings! {
    /// Settings of an entry for direct jobs.
    #[derive(Eq)]
    pub struct DirectEntrySettings {
        /// What every process has.
        pub process: ProcessSettings,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Where callers connect.
        pub callers: SocketAddr,
        /// Where the platform asks whether this process is ready.
        pub readiness: SocketAddr,
        /// Where agents and other entries connect.
        pub links: SocketAddr,
    }

    /// Settings of an agent for direct jobs.
    #[derive(Eq)]
    pub struct DirectAgentSettings {
        /// What every process has.
        pub process: ProcessSettings,
        /// Where the upstream on this machine sends its heartbeats.
        pub control: SocketAddr,
        /// The upstream on this machine.
        pub upstream: SocketAddr,
    }

    /// What every process has.
    #[derive(Eq)]
    pub struct ProcessSettings {
        /// Name of the host.
        pub name: Arc<str>,
        /// Where metrics are fetched.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// The platform's store.
        pub store: StoreSettings,
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

    /// The platform's store and what it bears.
    #[derive(Eq)]
    pub struct StoreSettings {
        /// Its address.
        pub address: SocketAddr,
        /// Appends a second that it takes from all processes together.
        #[serde(default = "default_appends_per_s")]
        pub appends_per_s: u32,
        /// Reads a second that it takes from all processes together.
        #[serde(default = "default_reads_per_s")]
        pub reads_per_s: u32,
        /// Processes that share these rates evenly.
        #[serde(default = "default_processes")]
        pub processes: u32,
    }
}

fn default_log_decisions() -> bool {
    true
}

/// Source: the users state this for the store of today's sites.
fn default_appends_per_s() -> u32 {
    800
}

/// Source: the users state this for the store of today's sites.
fn default_reads_per_s() -> u32 {
    2_000
}

/// Source: above the processes of the users' larger sites.
fn default_processes() -> u32 {
    100
}

impl StoreSettings {
    /// Creates settings of a store at an address with the rates of today's sites.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            appends_per_s: default_appends_per_s(),
            reads_per_s: default_reads_per_s(),
            processes: default_processes(),
        }
    }
}

impl ProcessSettings {
    fn validate(&self, errors: &mut InvalidFields) {
        if let Err(e) = self.timing.check() {
            errors.require(false, "process.timing", &e.to_string());
        }
        let store = &self.store;
        let is_positive = "must be positive";
        errors.require(store.appends_per_s > 0, "process.store.appends_per_s", is_positive);
        errors.require(store.reads_per_s > 0, "process.store.reads_per_s", is_positive);
        errors.require(store.processes > 0, "process.store.processes", is_positive);
    }
}

impl Validate for DirectEntrySettings {
    fn validate(&self, errors: &mut InvalidFields) {
        self.process.validate(errors);
    }
}

impl Validate for DirectAgentSettings {
    fn validate(&self, errors: &mut InvalidFields) {
        self.process.validate(errors);
    }
}
