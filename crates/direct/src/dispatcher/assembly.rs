//! Whether the agents of an entry that has just started are still connecting.
//!
//! Load pattern: all hosts lose power and come back together. Callers return at once, while the agents
//! open and connect one after the other within some tenths of a second. A job that finds too little
//! capacity in that time is not refused as in an overload: the capacity is about to appear, and a late
//! answer serves its caller better than a refusal.

/// Time after the start of the entry within which the first agent is expected, milliseconds: the
/// fencing of earlier agents and a connection.
const FIRST_AGENT_MS: u64 = 600;
/// Time after which the next agent is expected to have opened if there is one, milliseconds: agents
/// open when their upstreams have stopped the runs of earlier agents.
const NEXT_AGENT_MS: u64 = 200;
/// Time after the start of the entry from which it counts as complete in any case, milliseconds.
const MAX_ASSEMBLY_MS: u64 = 2_000;

types::plain! {
    /// When the entry started, and when an agent last joined it.
    #[derive(Copy, Default)]
    pub(crate) struct Assembly {
        started_ms: Option<u64>,
        joined_ms: Option<u64>,
    }
}

impl Assembly {
    /// Records that the entry's process has started.
    pub(crate) fn record_start(&mut self, now_ms: u64) {
        self.started_ms = Some(now_ms);
    }

    /// Records that an agent has described its upstream for the first time.
    pub(crate) fn record_agent(&mut self, now_ms: u64) {
        self.joined_ms = Some(now_ms);
    }

    /// Returns whether further agents are expected to connect within a moment.
    pub(crate) fn is_ongoing(&self, now_ms: u64) -> bool {
        let Some(started_ms) = self.started_ms else { return false };
        let until_ms = self
            .joined_ms
            .map_or(started_ms + FIRST_AGENT_MS, |joined_ms| joined_ms + NEXT_AGENT_MS);
        now_ms < until_ms.min(started_ms + MAX_ASSEMBLY_MS)
    }
}
