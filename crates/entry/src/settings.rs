//! Settings of an entry process.

use std::net::SocketAddr;

use ::settings::{InvalidFields, TokenDigest, Validate};
use intake::IntakeLimits;
use telemetry::TraceSettings;
use types::{EntryName, Location, TeamName};

types::settings! {
    /// Settings of an entry process.
    pub struct EntrySettings {
        /// Name of the entry, unique in the deployment.
        pub name: EntryName,
        /// Where the entry runs.
        pub location: Location,
        /// Address of the listener for callers.
        pub listen: SocketAddr,
        /// Address of the listener for agents and other entries.
        pub peer: SocketAddr,
        /// Address that is sent to peers in place of `peer`, for example behind address
        /// translation.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Listener for operators.
        pub admin: AdminSettings,
        /// Base URL of the platform's log.
        pub log: String,
        /// Peer addresses of the other entries.
        #[serde(default)]
        pub entries: Vec<SocketAddr>,
        /// Tokens of callers and the teams that they identify.
        pub callers: Vec<CallerSettings>,
        /// Limits on requests.
        #[serde(default)]
        pub limits: LimitSettings,
        /// Partitions and retention of jobs.
        #[serde(default)]
        pub jobs: JobSettings,
        /// Use of the log.
        #[serde(default)]
        pub journal: JournalSettings,
        /// Longest duration of a graceful shutdown, in milliseconds.
        #[serde(default = "default_grace_ms")]
        pub grace_ms: u64,
        /// Traces.
        #[serde(default)]
        pub traces: TraceSettings,
    }

    /// Listener of a process for operators.
    pub struct AdminSettings {
        /// Address of the listener.
        pub listen: SocketAddr,
        /// Digests of the operators' tokens.
        pub tokens: Vec<TokenDigest>,
    }

    /// One caller's token.
    pub struct CallerSettings {
        /// Team that the token identifies.
        pub team: TeamName,
        /// Digest of the token.
        pub token: TokenDigest,
    }

    /// Limits on requests.
    #[serde(default)]
    pub struct LimitSettings {
        /// Largest request body in bytes.
        pub body_bytes: usize,
        /// Longest `wait_ms` of a status request, in milliseconds.
        pub max_wait_ms: u64,
        /// Most bytes of payloads of tasks that wait for a slot.
        pub queue_bytes: usize,
        /// Longest wait for a complete request head, and then for a complete body, in milliseconds.
        pub idle_ms: u64,
        /// Memory of the host in MiB. Requests may hold a quarter of it, and callers' connections three
        /// eighths.
        pub memory_mb: u64,
        /// File descriptors that the process may have. Callers' connections get half of them.
        pub max_descriptors: u64,
    }

    /// Partitions and retention of jobs.
    #[serde(default)]
    pub struct JobSettings {
        /// Number of partitions.  It is the same for all entries of a deployment and must never
        /// change.
        pub partitions: u16,
        /// Seconds for which a submission is retained, so that a repeated one joins it.
        pub window_s: u64,
        /// Most bytes of retained answers.
        pub answer_bytes: usize,
        /// Milliseconds by which the clock of a caller may be ahead.
        pub clock_skew_ms: u64,
    }

    /// Use of the log.
    #[serde(default)]
    pub struct JournalSettings {
        /// Most appends per second by this entry. The default is a tenth of the rate that the users
        /// state for their store.
        pub appends_per_s: u32,
        /// Most bytes of records that wait for the log.
        pub backlog_bytes: usize,
    }
}

const MIB_BYTES: usize = 1024 * 1024;
/// Memory of the program, its links and its job table, MiB.
const PROGRAM_MB: u64 = 24;
/// Fewest descriptors: half of them are for links, the log and listeners.
const MIN_DESCRIPTORS: u64 = 64;

/// The partitions are handed over first, and then the longest tasks take several seconds.
fn default_grace_ms() -> u64 {
    30_000
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            max_wait_ms: 60_000,
            queue_bytes: 64 * 1024 * 1024,
            idle_ms: 60_000,
            memory_mb: 640,
            max_descriptors: 4_100,
        }
    }
}

impl Default for JobSettings {
    fn default() -> Self {
        Self { partitions: 64, window_s: 600, answer_bytes: 64 * 1024 * 1024, clock_skew_ms: 5_000 }
    }
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self { appends_per_s: 80, backlog_bytes: 64 * 1024 * 1024 }
    }
}

impl EntrySettings {
    /// Returns the limits on callers' requests and connections.
    pub(crate) fn intake_limits(&self) -> IntakeLimits {
        IntakeLimits::for_host(self.limits.memory_mb, self.limits.max_descriptors)
    }

    /// Returns the smallest memory of the host in MiB: requests and connections get five eighths of it,
    /// the program and what other settings bound the rest.
    fn needed_memory_mb(&self) -> u64 {
        let bounded = [self.limits.queue_bytes, self.jobs.answer_bytes, self.journal.backlog_bytes];
        let bounded_mb: u64 = bounded.iter().map(|bytes| bytes.div_ceil(MIB_BYTES) as u64).sum();
        ((PROGRAM_MB + bounded_mb) * 8).div_ceil(3)
    }
}

impl Validate for EntrySettings {
    fn validate(&self, errors: &mut InvalidFields) {
        let is_positive = "must be greater than zero";
        errors.require(self.log.starts_with("http://"), "log", "must be an http:// url");
        errors.require(!self.admin.tokens.is_empty(), "admin.tokens", "must hold a digest");
        errors.require(!self.callers.is_empty(), "callers", "must name at least one caller");
        errors.require(self.limits.body_bytes > 0, "limits.body_bytes", is_positive);
        errors.require(self.limits.queue_bytes > 0, "limits.queue_bytes", is_positive);
        errors.require(self.limits.max_wait_ms > 0, "limits.max_wait_ms", is_positive);
        errors.require(self.limits.idle_ms > 0, "limits.idle_ms", is_positive);
        let has_descriptors = self.limits.max_descriptors >= MIN_DESCRIPTORS;
        errors.require(has_descriptors, "limits.max_descriptors", "must be at least 64");
        let needed_mb = self.needed_memory_mb();
        errors.require(
            self.limits.memory_mb >= needed_mb,
            "limits.memory_mb",
            &format!(
                "must be at least {needed_mb} for limits.queue_bytes, jobs.answer_bytes and \
                 journal.backlog_bytes"
            ),
        );
        errors.require(
            (0.0..=1.0).contains(&self.traces.sample_ratio),
            "traces.sample_ratio",
            "must be from 0 to 1",
        );
        errors.require(self.jobs.partitions > 0, "jobs.partitions", is_positive);
        errors.require(self.jobs.window_s > 0, "jobs.window_s", is_positive);
        errors.require(self.jobs.answer_bytes > 0, "jobs.answer_bytes", is_positive);
        errors.require(self.journal.appends_per_s > 0, "journal.appends_per_s", is_positive);
        errors.require(self.journal.backlog_bytes > 0, "journal.backlog_bytes", is_positive);
    }
}
