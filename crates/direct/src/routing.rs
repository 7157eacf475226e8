use std::sync::Arc;

types::plain! {
    /// A queue of jobs: which requests belong to it, how urgent its jobs are and which pool runs
    /// them.
    pub struct Queue {
        /// Name of the queue.
        pub name: Arc<str>,
        /// Host name in its callers' requests; case is ignored.
        pub host: Arc<str>,
        /// Prefix of the paths in its callers' requests.
        pub prefix: Arc<str>,
        /// Pool whose upstreams may run its tasks.
        pub pool: Arc<str>,
        /// Urgency; 0 is the most urgent.
        pub priority: u8,
        /// Number of failed runs of one task at which its job fails.
        pub max_attempts: u16,
        /// Factor of the latency objective: the objective is the job's longest chain of run times
        /// times this, plus `allowance_ms`.
        pub stretch: f64,
        /// Constant part of the latency objective, milliseconds.
        pub allowance_ms: u64,
        /// Time allowed for the reply if the caller states none, milliseconds.
        pub timeout_ms: u64,
        /// Whether an advisor service of the platform decides which upstreams may run a step.
        pub needs_advice: bool,
    }

    /// Limits of a caller's request.
    #[derive(Copy, Eq)]
    pub struct RequestLimits {
        /// Maximum size of the head, bytes.
        pub header_bytes: usize,
        /// Maximum size of the body, bytes.
        pub body_bytes: usize,
        /// Time after which an idle connection is closed, milliseconds.
        pub idle_ms: u64,
    }

    /// One version of the operator's configuration.
    pub struct Routing {
        /// Version number; a configuration with a higher one replaces this one.
        pub version: u64,
        queues: Vec<Queue>,
        /// Limits of requests.
        pub limits: RequestLimits,
    }
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 262_144, idle_ms: 15_000 }
    }
}

impl Routing {
    /// Creates a version of the configuration; the order of the queues does not matter.
    pub fn new(version: u64, mut queues: Vec<Queue>, limits: RequestLimits) -> Self {
        // `find` returns the first match, so the longest prefix comes first.
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        Self { version, queues, limits }
    }

    /// Returns the queue of the host with the longest prefix that the path starts with, and the
    /// rest of the path.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a Queue, &'a str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .find_map(|queue| path.strip_prefix(&*queue.prefix).map(|rest| (queue, rest)))
    }

    /// Returns the number of queues.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns whether there is no queue.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
