//! Summaries of an entry's agents, for decision lines and readiness.

use std::sync::Arc;

use types::Resources;

use crate::dispatcher::{AgentKey, Dispatcher};

types::plain! {
    /// State of one agent on which placement decisions are based.
    pub struct AgentSummary {
        /// Name of the agent.
        pub name: Arc<str>,
        /// Age of the agent's last report, milliseconds.
        pub report_age_ms: u64,
        /// Free capacity by that report, less the attempts sent since.
        pub free: Resources,
        /// Learned speed of its upstream; 1 is the mean.
        pub speed: f64,
    }

    /// Free capacity of a pool as its entry knows it.
    #[derive(Copy, Eq)]
    pub struct PoolCapacity {
        /// Number of agents of the pool.
        pub agents: usize,
        /// Number of these that accept tasks.
        pub open_agents: usize,
        /// Maximum free capacity over the open agents, for each resource separately.
        pub most_free: Resources,
        /// Age of the oldest last report of an open agent, milliseconds.
        pub oldest_view_ms: u64,
    }
}

impl Dispatcher {
    /// Returns whether the entry can answer callers as well as another one: some agent accepts
    /// tasks, or every known one is evacuated, so that no entry has an agent that does.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let mut described = self.agents.iter().filter(|view| view.upstream.is_some()).peekable();
        let are_all_evacuated = described.peek().is_some()
            && described.all(|view| view.is_evacuated)
            && self.agents.iter().any(|view| view.is_connected);
        are_all_evacuated
            || self.agents.iter().any(|view| view.is_open(now_ms, self.timing.silence_ms))
    }

    /// Returns the state of an agent on which placement decisions are based; `None` if the key is
    /// unknown.
    pub fn agent_summary(&self, key: AgentKey, now_ms: u64) -> Option<AgentSummary> {
        let view = self.agents.get(key.0 as usize)?;
        Some(AgentSummary {
            name: Arc::clone(&view.name),
            report_age_ms: now_ms.saturating_sub(view.last_heard_ms),
            free: view.free(),
            speed: view.speed.value(),
        })
    }

    /// Returns the free capacity of a pool.
    pub fn pool_capacity(&self, pool: &str, now_ms: u64) -> PoolCapacity {
        let mut capacity = PoolCapacity {
            agents: 0,
            open_agents: 0,
            most_free: Resources::default(),
            oldest_view_ms: 0,
        };
        for (_, view) in self.agents_of(pool) {
            capacity.agents += 1;
            if view.is_open(now_ms, self.timing.silence_ms) {
                capacity.open_agents += 1;
                capacity.most_free = capacity.most_free.max_each(view.free());
                capacity.oldest_view_ms =
                    capacity.oldest_view_ms.max(now_ms.saturating_sub(view.last_heard_ms));
            }
        }
        capacity
    }

    /// Returns the incarnation of an agent that another one replaces, which has connected and not
    /// reported yet; `None` if there is none.
    pub fn replaced_incarnation(&self, key: AgentKey) -> Option<u64> {
        let view = self.agents.get(key.0 as usize)?;
        view.announced.map(|_| view.incarnation)
    }

    /// Returns the name of an agent; `None` if the key is unknown.
    pub fn agent_name(&self, key: AgentKey) -> Option<&Arc<str>> {
        self.agents.get(key.0 as usize).map(|view| &view.name)
    }
}
