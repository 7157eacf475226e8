use std::{net::SocketAddr, sync::Arc};

use direct::Timing;
use intake::IntakeLimits;
use settings::{InvalidFields, Validate};

/// Smallest memory of a host, MiB. An entry without callers has 11 MB resident.
const MIN_MEMORY_MB: u64 = 16;
/// Fewest descriptors: half of them are for links, the store, listeners and probes.
const MIN_DESCRIPTORS: u64 = 64;

types::settings! {
    /// Settings of an entry for direct jobs.
    pub struct DirectEntrySettings {
        /// Settings common to all processes.
        pub process: ProcessSettings,
        /// Availability zone of the entry.
        pub zone: Arc<str>,
        /// Address at which callers connect.
        pub callers: SocketAddr,
        /// Address for the platform's readiness probes.
        pub readiness: SocketAddr,
        /// Address at which agents and other entries connect.
        pub links: SocketAddr,
        /// Address under which they reach `links`, if it is another one, for example behind an
        /// address translation or a proxy.
        #[serde(default)]
        pub advertised_links: Option<SocketAddr>,
        /// Most tasks of a job, over all its steps; larger jobs are rejected.
        #[serde(default = "default_max_job_tasks")]
        pub max_job_tasks: u64,
        /// Share of a processor core that the host has, for example 0.12; agents report changes of
        /// their load less often to an entry with a small share. Without it reports are not limited.
        #[serde(default)]
        pub processor_share: Option<f64>,
        /// Memory of the host, MiB. It determines how many bytes of callers' requests are held, and
        /// how many connections.
        #[serde(default = "default_memory_mb")]
        pub memory_mb: u64,
        /// File descriptors that the process may have. It limits callers' connections.
        #[serde(default = "default_max_descriptors")]
        pub max_descriptors: u64,
        /// Optional parts of the placement of tasks.
        #[serde(default)]
        pub placement: PlacementSettings,
    }

    /// Settings of the placement of tasks.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct PlacementSettings {
        /// Whether placement considers queued tasks and expected completions; otherwise each task
        /// only uses what is free.
        pub look_ahead: bool,
    }

    /// Settings of an agent for direct jobs.
    #[derive(Eq)]
    pub struct DirectAgentSettings {
        /// Settings common to all processes.
        pub process: ProcessSettings,
        /// Address to which the upstream on this machine sends its heartbeats.
        pub control: SocketAddr,
        /// Address of the upstream on this machine.
        pub upstream: SocketAddr,
    }

    /// Settings common to all processes.
    #[derive(Eq)]
    pub struct ProcessSettings {
        /// Name of the host.
        pub name: Arc<str>,
        /// Address at which metrics are served; without it there are none.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// The platform's store.
        pub store: StoreSettings,
        /// Addresses at which to look for entries; some may no longer be in use.
        #[serde(default)]
        pub seeds: Option<Vec<SocketAddr>>,
        /// Port for links at the seeds; it replaces the port of each seed's address.
        #[serde(default)]
        pub seeds_port: Option<u16>,
        /// Longest time from a stop signal to the end of the process, milliseconds.
        pub grace_ms: u64,
        /// Whether the decision log is written to standard output.
        #[serde(default = "default_log_decisions")]
        pub log_decisions: bool,
        /// Leases, timeouts and periods, which determine when runs of an unreachable process end.
        #[serde(default)]
        pub timing: Timing,
    }

    /// The platform's store and its rate limits.
    #[derive(Eq)]
    pub struct StoreSettings {
        /// Address of the store.
        pub address: SocketAddr,
        /// Appends a second that the store accepts from all processes together.
        #[serde(default = "default_appends_per_s")]
        pub appends_per_s: u32,
        /// Reads a second that the store accepts from all processes together.
        #[serde(default = "default_reads_per_s")]
        pub reads_per_s: u32,
        /// Processes that share these rates evenly.
        #[serde(default = "default_processes")]
        pub processes: u32,
    }
}

/// Far above the largest jobs of today, which have 370 tasks.
fn default_max_job_tasks() -> u64 {
    10_000
}

/// The smallest hosts of entries.
fn default_memory_mb() -> u64 {
    120
}

/// The smallest hosts of entries.
fn default_max_descriptors() -> u64 {
    4_100
}

fn default_log_decisions() -> bool {
    true
}

/// The rate that the platform states for the store of its present sites.
fn default_appends_per_s() -> u32 {
    800
}

/// The rate that the platform states for the store of its present sites.
fn default_reads_per_s() -> u32 {
    2_000
}

/// More than the processes of the larger sites.
fn default_processes() -> u32 {
    100
}

impl StoreSettings {
    /// Creates settings of the store at `address` with the default rates.
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

impl DirectEntrySettings {
    /// Returns the limits on callers' requests and connections.
    pub(crate) fn intake_limits(&self) -> IntakeLimits {
        IntakeLimits::for_host(self.memory_mb, self.max_descriptors)
    }
}

impl Validate for DirectEntrySettings {
    fn validate(&self, errors: &mut InvalidFields) {
        self.process.validate(errors);
        errors.require(self.max_job_tasks > 0, "max_job_tasks", "must be positive");
        let is_share = self.processor_share.is_none_or(|share| share > 0.0 && share.is_finite());
        errors.require(is_share, "processor_share", "must be positive");
        errors.require(self.memory_mb >= MIN_MEMORY_MB, "memory_mb", "must be at least 16");
        let has_descriptors = self.max_descriptors >= MIN_DESCRIPTORS;
        errors.require(has_descriptors, "max_descriptors", "must be at least 64");
    }
}

impl Validate for DirectAgentSettings {
    fn validate(&self, errors: &mut InvalidFields) {
        self.process.validate(errors);
    }
}

#[cfg(test)]
mod tests;
