//! Detection of the times at which limits of the intake are reached.

/// Time without an eviction or refusal after which the intake counts as free, milliseconds. It is
/// longer than the pause that a refusal asks of callers (1 s), so that retries of the same load do not
/// count as a further time.
const FREE_AFTER_MS: u64 = 5_000;

types::plain! {
    /// What was evicted or refused at a limit.
    #[derive(Copy, Eq)]
    pub enum Rejected {
        /// An incomplete request was evicted for another one.
        EvictedRequest,
        /// A request was refused when it needed bytes.
        RefusedRequest,
        /// A connection was closed for a new one.
        EvictedConnection,
        /// A new connection was closed.
        RefusedConnection,
    }

    /// Evictions and refusals while the intake was full.
    #[derive(Copy, Eq, Default)]
    pub struct PressureCounts {
        /// Time of the first one.
        pub since_ms: u64,
        /// Time of the last one.
        pub last_ms: u64,
        /// Incomplete requests that were evicted.
        pub evicted_requests: u64,
        /// Requests that were refused.
        pub refused_requests: u64,
        /// Connections that were closed for new ones.
        pub evicted_connections: u64,
        /// New connections that were closed.
        pub refused_connections: u64,
    }
}

/// Whether the intake is full: something was evicted or refused within the last 5,000 ms.
#[derive(Debug, Default)]
pub struct PressureMonitor {
    counts: Option<PressureCounts>,
}

impl PressureMonitor {
    /// Counts an eviction or refusal; returns whether the intake has become full by it.
    pub fn record(&mut self, rejected: Rejected, now_ms: u64) -> bool {
        let is_first = self.counts.is_none();
        let counts = self
            .counts
            .get_or_insert(PressureCounts { since_ms: now_ms, ..PressureCounts::default() });
        counts.last_ms = now_ms;
        match rejected {
            Rejected::EvictedRequest => counts.evicted_requests += 1,
            Rejected::RefusedRequest => counts.refused_requests += 1,
            Rejected::EvictedConnection => counts.evicted_connections += 1,
            Rejected::RefusedConnection => counts.refused_connections += 1,
        }
        is_first
    }

    /// Returns the counts once when the intake has become free again.
    pub fn take_ended(&mut self, now_ms: u64) -> Option<PressureCounts> {
        let is_ended =
            |counts: &mut PressureCounts| now_ms.saturating_sub(counts.last_ms) >= FREE_AFTER_MS;
        self.counts.take_if(is_ended)
    }
}
