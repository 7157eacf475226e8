use std::sync::Arc;

types::plain! {
    /// A queue of jobs: which requests are accepted, how urgent they are, who may run them.
    pub struct Queue {
        /// Its name.
        pub name: Arc<str>,
        /// Host that its clients call.
        pub host: Arc<str>,
        /// What the paths of its clients begin with.
        pub prefix: Arc<str>,
        /// The pool whose upstreams may run its tasks.
        pub pool: Arc<str>,
        /// Urgency: 0 goes first.
        pub priority: u8,
        /// Runs of a task that may end failed.
        pub max_attempts: u16,
        /// The objective is this many times the job's longest chain of run times ...
        pub stretch: f64,
        /// ... and this many milliseconds more.
        pub allowance_ms: u64,
        /// Longest time to an answer, milliseconds.
        pub timeout_ms: u64,
        /// Whether a service of the platform says which upstreams may run a step.
        pub needs_advice: bool,
    }

    /// Bounds of a client's request.
    #[derive(Copy, Eq)]
    pub struct RequestLimits {
        /// Most bytes of the head.
        pub header_bytes: usize,
        /// Most bytes of the body.
        pub body_bytes: usize,
        /// Longest time that a connection is idle, milliseconds.
        pub idle_ms: u64,
    }

    /// One version of the configuration in full.
    pub struct Routing {
        /// Its number; a higher one replaces it.
        pub version: u64,
        queues: Vec<Queue>,
        /// Bounds of requests.
        pub limits: RequestLimits,
    }
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 262_144, idle_ms: 15_000 }
    }
}

impl Routing {
    /// Creates a version of the configuration.
    pub fn new(version: u64, mut queues: Vec<Queue>, limits: RequestLimits) -> Self {
        // The longest prefix decides, so it comes first.
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        Self { version, queues, limits }
    }

    /// Returns the queue of a host with the longest prefix that the path begins with, and the
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
