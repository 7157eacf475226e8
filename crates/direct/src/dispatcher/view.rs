//! What an entry says of its agents, for logs and readiness.

use std::sync::Arc;

use types::Resources;

use crate::dispatcher::{AgentKey, Dispatcher};

types::plain! {
    /// What a choice of an agent is made on.
    pub struct AgentSummary {
        /// Its name.
        pub name: Arc<str>,
        /// Age of its last report, milliseconds.
        pub report_age_ms: u64,
        /// Capacity left by that report, less what was ordered since.
        pub free: Resources,
        /// Learned speed of its upstream; 1 is the mean.
        pub speed: f64,
    }

    /// What there is room for in a pool, as far as the entry knows.
    #[derive(Copy, Eq)]
    pub struct PoolCapacity {
        /// Agents of the pool.
        pub agents: usize,
        /// Those that take tasks.
        pub open_agents: usize,
        /// The most that is free at one of these, in each dimension by itself.
        pub most_free: Resources,
        /// Age of the oldest report of these, milliseconds.
        pub oldest_view_ms: u64,
    }
}

impl Dispatcher {
    /// Returns whether some agent takes tasks.
    pub fn has_open_agent(&self, now_ms: u64) -> bool {
        self.agents.iter().any(|view| view.is_open(now_ms, self.timing.silence_ms))
    }

    /// Returns what a choice of an agent is made on.
    pub fn agent_summary(&self, key: AgentKey, now_ms: u64) -> Option<AgentSummary> {
        let view = self.agents.get(key.0 as usize)?;
        Some(AgentSummary {
            name: Arc::clone(&view.name),
            report_age_ms: now_ms.saturating_sub(view.last_heard_ms),
            free: view.free(),
            speed: view.speed.value(),
        })
    }

    /// Returns what there is room for in a pool.
    pub fn pool_capacity(&self, pool: &str, now_ms: u64) -> PoolCapacity {
        let mut room = PoolCapacity {
            agents: 0,
            open_agents: 0,
            most_free: Resources::default(),
            oldest_view_ms: 0,
        };
        for (_, view) in self.agents_of(pool) {
            room.agents += 1;
            if view.is_open(now_ms, self.timing.silence_ms) {
                room.open_agents += 1;
                room.most_free = room.most_free.max_each(view.free());
                room.oldest_view_ms =
                    room.oldest_view_ms.max(now_ms.saturating_sub(view.last_heard_ms));
            }
        }
        room
    }

    /// Returns the name of an agent.
    pub fn agent_name(&self, key: AgentKey) -> Option<&Arc<str>> {
        self.agents.get(key.0 as usize).map(|view| &view.name)
    }
}
