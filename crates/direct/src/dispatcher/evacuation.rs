//! Reaction to evacuation orders: upstreams of evacuated zones get no tasks, and other links take the
//! place of theirs.

use crate::{
    DirectJob, Evacuations, JobStep, ToAgent, ZoneChange,
    dispatcher::{AgentKey, Dispatcher, DispatcherEffect, agent_view::AgentView},
};

impl Dispatcher {
    /// Returns the evacuated zones that the entry knows of.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Merges what the store or another entry says of evacuations. Returns the zones that are newly
    /// evacuated or no longer so. The first effects tell the agents, before anything can start.
    pub fn merge_evacuations(
        &mut self,
        other: &Evacuations,
        now_ms: u64,
    ) -> (Vec<ZoneChange>, Vec<DispatcherEffect>) {
        let mut effects = Vec::new();
        let before = self.evacuations.clone();
        // A change of the position alone is not sent: it changes no decision of an agent.
        if !self.evacuations.merge(other) {
            return (Vec::new(), effects);
        }
        let keyed = || (0u32..).map(AgentKey).zip(&self.agents);
        effects.extend(keyed().filter(|(_, view)| view.is_connected).map(|(key, _)| {
            DispatcherEffect::Send(key, ToAgent::Evacuations(self.evacuations.clone()))
        }));
        let changes = self.evacuations.changes_since(&before);
        if changes.is_empty() {
            return (changes, effects);
        }
        for view in &mut self.agents {
            let zone = view.upstream.as_ref().map(|upstream| &upstream.zone);
            view.is_evacuated = zone.is_some_and(|zone| self.evacuations.is_evacuated(zone));
        }
        for (kind, pool) in self.containment.kinds_with_members() {
            self.choose_members(&kind, &pool);
        }
        self.rest_evacuated(now_ms, &mut effects);
        self.activate_all_at_rest(now_ms, &mut effects);
        effects.extend(self.dispatch_queued(now_ms));
        (changes, effects)
    }

    /// Puts the links to evacuated upstreams on standby that hold no attempts of this entry.
    pub(crate) fn rest_evacuated(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let is_idle = |view: &AgentView| view.is_evacuated && view.attempts.is_empty();
        let idle = self.active_agents().filter(|(_, view)| is_idle(view));
        let keys: Vec<AgentKey> = idle.map(|(key, _)| key).collect();
        for key in keys {
            self.set_active(key, false, now_ms, effects);
        }
    }

    /// Activates the links that the entry needs at rest, those of its own zone first.
    fn activate_all_at_rest(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let mut keys: Vec<(bool, u64, AgentKey)> = (0u32..)
            .map(AgentKey)
            .zip(&self.agents)
            .map(|(key, view)| (!self.is_near(view), view.rank, key))
            .collect();
        keys.sort_unstable();
        for (_, _, key) in keys {
            self.activate_at_rest(key, now_ms, effects);
        }
    }

    /// Returns whether some step of a job fits upstreams of evacuated zones only.
    pub(crate) fn needs_evacuated(&self, job: &DirectJob) -> bool {
        // Asked for each queued job, so it costs nothing while no zone is evacuated.
        if self.evacuations.evacuated().next().is_none() {
            return false;
        }
        let evacuated = || self.agents_of(&job.pool).filter(|(_, view)| view.is_evacuated);
        let needs_evacuated = |step: &JobStep| {
            evacuated().any(|(_, view)| view.has_room_for(step))
                && !self.agents_of(&job.pool).any(|(_, view)| view.fits(step))
        };
        job.steps.iter().any(needs_evacuated)
    }
}
