//! Settings of an agent process and their validation.

use std::net::SocketAddr;

use ::settings::{InvalidFields, TokenDigest, Validate};
use telemetry::TraceSettings;
use types::{Location, PoolName, Resources, UpstreamName};

types::settings! {
    /// Settings of an agent process.
    pub struct AgentSettings {
        /// Name of the upstream.
        pub name: UpstreamName,
        /// Pool of the upstream.
        pub pool: PoolName,
        /// Region, zone and rack of the upstream.
        pub location: Location,
        /// Address of the listener for entries.
        pub listen: SocketAddr,
        /// Address to announce in place of `listen`, for example behind address translation.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Admin listener.
        pub admin: AdminSettings,
        /// Addresses of entries to announce to; further ones are learned from their replies.
        pub entries: Vec<SocketAddr>,
        /// Base URL of the platform's log.
        pub log: String,
        /// Executor of the agent; an agent has either an executor or a worker.
        #[serde(default)]
        pub executor: Option<ExecutorSettings>,
        /// Worker of the agent.
        #[serde(default)]
        pub worker: Option<WorkerSettings>,
        /// Resources of the upstream.
        pub capacity: Resources,
        /// Limits on queued and retained attempts.
        #[serde(default)]
        pub memory: MemorySettings,
        /// Settings of traces.
        #[serde(default)]
        pub traces: TraceSettings,
    }

    /// Admin listener of a process.
    pub struct AdminSettings {
        /// Address of the listener.
        pub listen: SocketAddr,
        /// Digests of the tokens that operators present.
        pub tokens: Vec<TokenDigest>,
    }

    /// Settings of an executor.
    pub struct ExecutorSettings {
        /// Base URL.
        pub url: String,
        /// Number of tasks that it runs at once.
        pub slots: u32,
        /// Number of connections that it accepts; at least `slots`.
        pub connections: u32,
    }

    /// Settings of a worker.
    pub struct WorkerSettings {
        /// Base URL.
        pub url: String,
        /// Number of tasks that it runs at once.
        pub slots: u32,
        /// Time after which a lease lapses unless it is renewed, in milliseconds; 3 s by default.
        #[serde(default = "default_lease_ms")]
        pub lease_ms: u64,
    }

    /// Limits on the attempts that an agent queues and retains.
    pub struct MemorySettings {
        /// Time for which an attempt is retained after it has ended, in seconds; 600 by default.
        pub window_s: u64,
        /// Maximum total size of retained answers in bytes; 4 MiB by default.
        pub answer_bytes: usize,
        /// Maximum number of tasks that wait for a slot; 64 by default.
        pub queue_tasks: usize,
    }
}

/// Shortest lease in milliseconds.
const MIN_LEASE_MS: u64 = 300;

fn default_lease_ms() -> u64 {
    3_000
}

impl AgentSettings {
    /// Returns the number of tasks that the upstream runs at once.
    pub(crate) fn slots(&self) -> u32 {
        let worker = self.worker.as_ref().map(|worker| worker.slots);
        self.executor.as_ref().map(|executor| executor.slots).or(worker).unwrap_or_default()
    }

    /// Returns the number of connections that the upstream accepts.
    pub(crate) fn connections(&self) -> u32 {
        let connections = self.executor.as_ref().map(|executor| executor.connections);
        connections.unwrap_or(self.slots())
    }

    fn validate_upstream(&self, errors: &mut InvalidFields) {
        let must_be_positive = "must be greater than zero";
        let must_be_url = "must be an http:// url";
        let has_exactly_one = self.executor.is_some() != self.worker.is_some();
        errors.require(has_exactly_one, "executor", "either executor or worker must be given");
        if let Some(executor) = &self.executor {
            errors.require(executor.url.starts_with("http://"), "executor.url", must_be_url);
            errors.require(executor.slots > 0, "executor.slots", must_be_positive);
            let has_enough_connections = executor.connections >= executor.slots;
            let must_cover_slots = "must be at least the number of slots";
            errors.require(has_enough_connections, "executor.connections", must_cover_slots);
        }
        if let Some(worker) = &self.worker {
            errors.require(worker.url.starts_with("http://"), "worker.url", must_be_url);
            errors.require(worker.slots > 0, "worker.slots", must_be_positive);
            let is_long_enough = worker.lease_ms >= MIN_LEASE_MS;
            errors.require(is_long_enough, "worker.lease_ms", "must be at least 300");
        }
    }
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self { window_s: 600, answer_bytes: 4 * 1024 * 1024, queue_tasks: 64 }
    }
}

impl Validate for AgentSettings {
    fn validate(&self, errors: &mut InvalidFields) {
        let must_be_positive = "must be greater than zero";
        errors.require(!self.entries.is_empty(), "entries", "must name at least one entry");
        errors.require(self.log.starts_with("http://"), "log", "must be an http:// url");
        self.validate_upstream(errors);
        errors.require(self.capacity.milli_cores > 0, "capacity.milli_cores", must_be_positive);
        errors.require(self.capacity.memory_mb > 0, "capacity.memory_mb", must_be_positive);
        errors.require(self.memory.window_s > 0, "memory.window_s", must_be_positive);
        errors.require(self.memory.queue_tasks > 0, "memory.queue_tasks", must_be_positive);
        errors.require(
            (0.0..=1.0).contains(&self.traces.sample_ratio),
            "traces.sample_ratio",
            "must be from 0 to 1",
        );
        errors.require(!self.admin.tokens.is_empty(), "admin.tokens", "must hold a digest");
    }
}
