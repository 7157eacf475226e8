//! Which links to agents are active.
//!
//! Load pattern: hundreds of agents, of which the callers of one entry need a few at a time. A
//! report from each of them to each entry on every change of load costs more processor time and
//! more bytes between zones than the tasks themselves. Only the links to agents of the entry's own
//! availability zone are therefore active at rest, and some others if these are few. Others become
//! active while the load needs them: when a task finds no agent with which it would end in time, or
//! when little capacity is free.

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    ToAgent,
    dispatcher::{AgentKey, Dispatcher, DispatcherEffect, JobKey, agent_view::AgentView},
};

/// Maximum number of links to agents of the own zone that are active at rest.
const MAX_LINKS_AT_REST: usize = 48;
/// Number of links that are active at rest if there are so many, whatever the zones of the agents:
/// with few agents, the reports cost little.
const MIN_LINKS_AT_REST: usize = 24;
/// Minimum and maximum number of links that become active at a time.
const MIN_WIDENING_LINKS: usize = 6;
const MAX_WIDENING_LINKS: usize = 32;
/// Number of waiting tasks for which one more link becomes active; an upstream runs several tasks.
const WAITING_TASKS_PER_LINK: usize = 4;
/// Minimum time between two widenings, milliseconds: about the time until the first report of an
/// agent in another zone.
const WIDENING_PAUSE_MS: u64 = 5;
/// Free share of the capacity of the open agents under which more links become active, percent.
const LOW_FREE_PERCENT: u64 = 25;
/// Free share of the capacity of the near open agents above which other links go on standby,
/// percent.
const NEAR_FREE_PERCENT: u64 = 35;
/// Time without need after which links go on standby, milliseconds.
const NARROWING_DELAY_MS: u64 = 2_000;
/// Number of links that go on standby at a time, and the minimum time between two such steps,
/// milliseconds.
const NARROWING_LINKS: usize = 6;
const NARROWING_PAUSE_MS: u64 = 250;
/// Time between two checks for silent agents from which this process counts as paused, milliseconds;
/// the checks are at most 100 ms apart otherwise.
const OWN_PAUSE_MS: u64 = 250;

types::plain! {
    /// State of the choice of active links.
    #[derive(Default)]
    pub(crate) struct LinkActivity {
        /// Agents with active links.
        pub(crate) active: BTreeSet<AgentKey>,
        /// Number from which ranks of agents are derived; it differs between entries.
        seed: u64,
        needed_ms: u64,
        widened_ms: Option<u64>,
        narrowed_ms: u64,
        silence_checked_ms: u64,
    }
}

impl LinkActivity {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Returns the position of an agent in the order in which links become active.
    pub(crate) fn rank(&self, agent: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, agent).hash(&mut hasher);
        hasher.finish()
    }
}

/// Free and total processor capacity of some agents, milli-cores.
struct FreeShare {
    free: u64,
    capacity: u64,
}

impl FreeShare {
    fn of<'a>(views: impl Iterator<Item = &'a AgentView>) -> Self {
        let mut share = Self { free: 0, capacity: 0 };
        for view in views {
            share.free += u64::from(view.free().milli_cores);
            // Of a cold upstream, only what it offers counts, and of that only the free part is known.
            let capacity = match &view.upstream {
                Some(_) if view.is_cold() => view.free().milli_cores,
                upstream => upstream.as_ref().map_or(0, |up| up.capacity.milli_cores),
            };
            share.capacity += u64::from(capacity);
        }
        share
    }

    /// Returns whether there is capacity, and at least this share of it is free.
    fn is_at_least(&self, percent: u64) -> bool {
        self.capacity > 0 && self.free * 100 >= self.capacity * percent
    }
}

impl Dispatcher {
    /// Activates the link to an agent that has just connected or reported its upstream, if the
    /// entry needs it at rest: the agent is near, few links are active, or the agent holds attempts
    /// of this entry.
    pub(crate) fn activate_at_rest(
        &mut self,
        key: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let view = &self.agents[key.0 as usize];
        let is_needed = view.upstream.is_some()
            && !view.is_evacuated
            && (self.usable_links() < MIN_LINKS_AT_REST
                || (self.is_near(view) && self.near_links() < MAX_LINKS_AT_REST));
        if view.is_connected && (is_needed || !view.attempts.is_empty()) {
            self.set_active(key, true, now_ms, effects);
        }
    }

    /// Activates more links, those of the own zone first, to agents that can run a task of one of
    /// the steps, which wait for an agent.
    pub(crate) fn widen_for(
        &mut self,
        steps: &[(JobKey, u16)],
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let fits = |dispatcher: &Self, agent: AgentKey, view: &AgentView| {
            steps.iter().any(|(key, step)| {
                dispatcher.jobs.get(key).is_some_and(|state| {
                    (!dispatcher.is_confined(state, now_ms)
                        || dispatcher.containment.is_member(&state.job.kind, agent))
                        && view.is_in_pool(&state.job.pool)
                        && view.fits(&state.job.steps[usize::from(*step)])
                })
            })
        };
        let waiting: usize = steps
            .iter()
            .filter_map(|(key, step)| Some(&self.jobs.get(key)?.steps[usize::from(*step)]))
            .map(|step| step.pending.len())
            .sum();
        self.widen(waiting / WAITING_TASKS_PER_LINK, fits, now_ms, effects);
    }

    /// Activates about `links` more links, those of the own zone first, to agents that `is_wanted`
    /// selects.
    fn widen(
        &mut self,
        links: usize,
        is_wanted: impl Fn(&Self, AgentKey, &AgentView) -> bool,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        self.links.needed_ms = now_ms;
        if self.links.widened_ms.is_some_and(|last_ms| now_ms < last_ms + WIDENING_PAUSE_MS) {
            return;
        }
        let mut candidates: Vec<(bool, u64, AgentKey)> = (0u32..)
            .map(AgentKey)
            .zip(&self.agents)
            .filter(|(key, view)| view.is_standby() && is_wanted(self, *key, view))
            .map(|(key, view)| (!self.is_near(view), view.rank, key))
            .collect();
        candidates.sort_unstable();
        if !candidates.is_empty() {
            self.links.widened_ms = Some(now_ms);
        }
        let links = links.clamp(MIN_WIDENING_LINKS, MAX_WIDENING_LINKS);
        for (_, _, key) in candidates.into_iter().take(links) {
            self.set_active(key, true, now_ms, effects);
        }
    }

    /// Returns whether enough capacity of the open agents is free for jobs that can wait.
    pub(crate) fn has_spare_capacity(&self, now_ms: u64) -> bool {
        let silence_ms = self.timing.silence_ms;
        let views = self.active_agents().map(|(_, view)| view);
        FreeShare::of(views.filter(|view| view.is_open(now_ms, silence_ms)))
            .is_at_least(LOW_FREE_PERCENT)
    }

    /// Activates more links while little of the capacity of the open agents is free; puts links on
    /// standby when the near agents have had enough for a while.
    pub(crate) fn adjust_links(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        self.rest_evacuated(now_ms, effects);
        let silence_ms = self.timing.silence_ms;
        let open = || self.active_agents().filter(|(_, view)| view.is_open(now_ms, silence_ms));
        let near = FreeShare::of(open().map(|(_, view)| view).filter(|view| self.is_near(view)));
        if !self.has_spare_capacity(now_ms) {
            self.widen(MIN_WIDENING_LINKS, |_, _, _| true, now_ms, effects);
        } else if near.is_at_least(NEAR_FREE_PERCENT) {
            self.narrow(now_ms, effects);
        }
    }

    fn narrow(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        if now_ms < self.links.needed_ms + NARROWING_DELAY_MS
            || now_ms < self.links.narrowed_ms + NARROWING_PAUSE_MS
        {
            return;
        }
        let is_idle = |view: &AgentView| view.attempts.is_empty() && !view.is_evacuated;
        let idle = || self.active_agents().filter(|(_, view)| is_idle(view));
        let (near, far): (Vec<_>, Vec<_>) = idle().partition(|(_, view)| self.is_near(view));
        let dispensable = |mut agents: Vec<(AgentKey, &AgentView)>, excess: usize| {
            agents.sort_unstable_by_key(|(key, view)| Reverse((view.rank, *key)));
            agents.into_iter().take(excess).map(|(key, _)| key).collect::<Vec<_>>()
        };
        let mut keys = dispensable(far, self.usable_links().saturating_sub(MIN_LINKS_AT_REST));
        keys.extend(dispensable(near, self.near_links().saturating_sub(MAX_LINKS_AT_REST)));
        keys.truncate(NARROWING_LINKS);
        if !keys.is_empty() {
            self.links.narrowed_ms = now_ms;
        }
        for key in keys {
            self.set_active(key, false, now_ms, effects);
        }
    }

    /// Closes the connections of agents that have been silent for longer than their links allow.
    /// After a pause of this process, messages of the agents may still be unread, so their silence
    /// is counted anew.
    pub(crate) fn close_silent(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let since_check_ms = now_ms.saturating_sub(self.links.silence_checked_ms);
        self.links.silence_checked_ms = now_ms;
        if since_check_ms >= OWN_PAUSE_MS {
            self.agents.iter_mut().for_each(|view| view.awaited_since_ms = now_ms);
            return;
        }
        let timing = self.timing;
        let silent = |view: &AgentView| {
            let limit_ms =
                if view.is_active { timing.silence_ms } else { timing.standby_silence_ms };
            view.is_connected && now_ms.saturating_sub(view.awaited_since_ms) >= limit_ms
        };
        let keyed = (0u32..).map(AgentKey).zip(&self.agents);
        let keys: Vec<AgentKey> =
            keyed.filter(|(_, view)| silent(view)).map(|(key, _)| key).collect();
        for key in keys {
            self.on_disconnected(key);
            effects.push(DispatcherEffect::CloseLink(key));
        }
    }

    /// Returns the agents with active links.
    pub(crate) fn active_agents(&self) -> impl Iterator<Item = (AgentKey, &AgentView)> {
        self.links.active.iter().map(|key| (*key, &self.agents[key.0 as usize]))
    }

    /// Returns the number of active links to agents whose zone is not evacuated.
    fn usable_links(&self) -> usize {
        self.active_agents().filter(|(_, view)| !view.is_evacuated).count()
    }

    fn near_links(&self) -> usize {
        let usable = self.active_agents().filter(|(_, view)| !view.is_evacuated);
        usable.filter(|(_, view)| self.is_near(view)).count()
    }

    pub(crate) fn is_near(&self, view: &AgentView) -> bool {
        view.upstream.as_ref().is_some_and(|upstream| *upstream.zone == *self.zone)
    }

    pub(crate) fn set_active(
        &mut self,
        key: AgentKey,
        is_active: bool,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let view = &mut self.agents[key.0 as usize];
        if view.is_active == is_active {
            return;
        }
        view.set_active(is_active, now_ms);
        if is_active {
            self.links.active.insert(key);
            let pacing = self.pacing_message();
            effects.extend(pacing.map(|message| DispatcherEffect::Send(key, message)));
        } else {
            self.links.active.remove(&key);
        }
        effects.push(DispatcherEffect::Send(key, ToAgent::SetActive(is_active)));
    }
}
