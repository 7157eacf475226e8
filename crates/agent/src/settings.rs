use std::net::SocketAddr;

use ::settings::{InvalidFields, TokenDigest, Validate};
use telemetry::TraceSettings;
use types::{Location, PoolName, Resources, UpstreamName};

types::settings! {
    /// Settings of an agent process.
    pub struct AgentSettings {
        /// Name of the upstream.
        pub name: UpstreamName,
        /// Pool that the upstream belongs to.
        pub pool: PoolName,
        /// Where the upstream runs.
        pub location: Location,
        /// Address that entries connect to.
        pub listen: SocketAddr,
        /// Address that is announced in place of `listen`, as behind address translation.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Operators' listener.
        pub admin: AdminSettings,
        /// Peer addresses of entries to announce to.
        pub entries: Vec<SocketAddr>,
        /// Base URL of the platform's log.
        pub log: String,
        /// The executor beside the agent; an agent has either an executor or a worker.
        #[serde(default)]
        pub executor: Option<ExecutorSettings>,
        /// The worker beside the agent.
        #[serde(default)]
        pub worker: Option<WorkerSettings>,
        /// Resources that the upstream has.
        pub capacity: Resources,
        /// Memory of starts.
        #[serde(default)]
        pub memory: MemorySettings,
        /// Traces.
        #[serde(default)]
        pub traces: TraceSettings,
    }

    /// The operators' listener of a process.
    pub struct AdminSettings {
        /// Address of the listener.
        pub listen: SocketAddr,
        /// Digests of the operators' tokens.
        pub tokens: Vec<TokenDigest>,
    }

    /// The executor beside an agent.
    pub struct ExecutorSettings {
        /// Base URL.
        pub url: String,
        /// Tasks that it runs at once.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
    }

    /// The worker beside an agent.
    pub struct WorkerSettings {
        /// Base URL.
        pub url: String,
        /// Tasks that it is given at once.
        pub slots: u32,
        /// Time in milliseconds after which a lease lapses unless it is renewed.
        #[serde(default = "default_lease_ms")]
        pub lease_ms: u64,
    }

    /// Bounds of an agent's memory of starts.
    pub struct MemorySettings {
        /// Seconds for which a start is remembered after it ended.
        pub window_s: u64,
        /// Most bytes of kept answers.
        pub answer_bytes: usize,
        /// Most tasks that wait for a slot.
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
        let is_positive = "must be greater than zero";
        let is_url = "must be an http:// url";
        let has_one = self.executor.is_some() != self.worker.is_some();
        errors.require(has_one, "executor", "either executor or worker must be given");
        if let Some(executor) = &self.executor {
            errors.require(executor.url.starts_with("http://"), "executor.url", is_url);
            errors.require(executor.slots > 0, "executor.slots", is_positive);
            let has_connections = executor.connections >= executor.slots;
            let at_least = "must be at least the number of slots";
            errors.require(has_connections, "executor.connections", at_least);
        }
        if let Some(worker) = &self.worker {
            errors.require(worker.url.starts_with("http://"), "worker.url", is_url);
            errors.require(worker.slots > 0, "worker.slots", is_positive);
            let is_long = worker.lease_ms >= MIN_LEASE_MS;
            errors.require(is_long, "worker.lease_ms", "must be at least 300");
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
        let is_positive = "must be greater than zero";
        errors.require(!self.entries.is_empty(), "entries", "must name at least one entry");
        errors.require(self.log.starts_with("http://"), "log", "must be an http:// url");
        self.validate_upstream(errors);
        errors.require(self.capacity.milli_cores > 0, "capacity.milli_cores", is_positive);
        errors.require(self.capacity.memory_mb > 0, "capacity.memory_mb", is_positive);
        errors.require(self.memory.window_s > 0, "memory.window_s", is_positive);
        errors.require(self.memory.queue_tasks > 0, "memory.queue_tasks", is_positive);
        errors.require(
            (0.0..=1.0).contains(&self.traces.sample_ratio),
            "traces.sample_ratio",
            "must be from 0 to 1",
        );
        errors.require(!self.admin.tokens.is_empty(), "admin.tokens", "must hold a digest");
    }
}
