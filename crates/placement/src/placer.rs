use rand::{Rng, RngExt};
use types::{Incarnation, Location, PoolName, Resources, UpstreamName};

use crate::{
    AgentLoad, Choice, Dispatch, HealthWeight, NeverFits, PoolIndex, RackIndex, TaskRequirements,
    UpstreamIndex, UpstreamSpec,
    fleet::Fleet,
    group::Group,
    indices::GroupIndex,
    pool_speeds::PoolSpeeds,
    speed_class::SpeedClass,
    speed_index::SpeedIndex,
    upstream::{Upstream, UpstreamState},
    zone_delays::ZoneDelays,
};

/// Members of a speed class that are examined before the next class is tried.
const MAX_PROBES: usize = 32;

/// Suitable members of a speed class among which the one on the job's least used rack is chosen.
const SPREAD_CHOICES: usize = 4;

/// Upstreams that are sampled for a fallback before all members are searched.
const MAX_SAMPLES: usize = 8;

/// Weight of a new task in the moving average of the expected run time.
const WORK_GAIN: f64 = 1.0 / 64.0;

/// An upstream with the expected time in microseconds until its answer to a task.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    upstream: UpstreamIndex,
    completion_us: f64,
}

/// State of the upstreams as seen by an entry, and the choice among them.
///
/// The caller records every dispatch, reply and loss; a choice by itself changes nothing.
#[derive(Clone, Debug)]
pub struct Placer {
    location: Location,
    fleet: Fleet,
    delays: ZoneDelays,
    /// Serving upstreams with an unspent offer.
    offered: SpeedIndex,
    /// Serving upstreams that accept a task without an offer.
    fallback: SpeedIndex,
    speeds_by_pool: Vec<PoolSpeeds>,
    /// Moving average of the expected run time of dispatched tasks.
    mean_work_us: f64,
    entry_count: u32,
}

impl Placer {
    /// Creates a placer without upstreams for an entry at a location.
    pub fn new(location: Location) -> Self {
        Self {
            location,
            fleet: Fleet::default(),
            delays: ZoneDelays::default(),
            offered: SpeedIndex::default(),
            fallback: SpeedIndex::default(),
            speeds_by_pool: Vec::new(),
            mean_work_us: 0.0,
            entry_count: 1,
        }
    }

    /// Sets the number of live entries, this one included.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = entry_count.max(1);
        self.fleet.iter_indices().for_each(|upstream| self.update_indexes(upstream));
    }

    /// Returns the index of a pool, which may have no upstream yet.
    pub fn pool_index(&mut self, name: &PoolName) -> PoolIndex {
        let pool = self.fleet.pool_index(name);
        self.speeds_by_pool.resize_with(self.fleet.pool_count(), PoolSpeeds::default);
        pool
    }

    /// Returns the index of an upstream, if it is known.
    pub fn upstream_index(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.fleet.upstream_index(name)
    }

    /// Returns the name of an upstream.
    pub fn upstream_name(&self, upstream: UpstreamIndex) -> &UpstreamName {
        &self.fleet.upstream(upstream).spec.name
    }

    /// Returns the rack of an upstream.
    pub fn rack(&self, upstream: UpstreamIndex) -> RackIndex {
        self.fleet.upstream(upstream).rack
    }

    /// Returns the unspent offers of an upstream; may be negative while replies are in transit.
    pub fn offers(&self, upstream: UpstreamIndex) -> i32 {
        self.fleet.upstream(upstream).offers
    }

    /// Returns the number of this entry's outstanding tasks at an upstream.
    pub fn outstanding(&self, upstream: UpstreamIndex) -> u32 {
        self.fleet.upstream(upstream).outstanding
    }

    /// Adds an upstream or replaces the specification of a known one, and marks it as serving.
    /// A new incarnation starts without offers and outstanding tasks.
    pub fn register_upstream(&mut self, spec: UpstreamSpec) -> UpstreamIndex {
        if let Some(known) = self.fleet.upstream_index(&spec.name) {
            self.prepare_registration(known, spec.incarnation);
        }
        self.pool_index(&spec.pool);
        let location = spec.location.clone();
        let upstream = self.fleet.register(spec);
        if self.delays.len() < self.fleet.zone_count() {
            self.delays.add_zone(&self.location, &location);
        }
        let state = self.fleet.upstream_mut(upstream);
        state.state = UpstreamState::Serving;
        let (class, outstanding) = (state.class, state.outstanding);
        self.speeds_mut(upstream).add_busy(class, outstanding);
        self.update_indexes(upstream);
        upstream
    }

    /// Marks a lost upstream as down, so that it is not chosen, and discards its outstanding
    /// tasks.
    pub fn mark_down(&mut self, upstream: UpstreamIndex) {
        self.remove_busy_tasks(upstream);
        let state = self.fleet.upstream_mut(upstream);
        state.reset();
        state.state = UpstreamState::Down;
        self.update_indexes(upstream);
    }

    /// Marks a leaving upstream as draining, so that it is not chosen; its outstanding tasks still
    /// count.
    pub fn mark_draining(&mut self, upstream: UpstreamIndex) {
        let state = self.fleet.upstream_mut(upstream);
        if state.state == UpstreamState::Serving {
            state.state = UpstreamState::Draining;
        }
        self.update_indexes(upstream);
    }

    /// Sets the health of an upstream.
    pub fn set_health(&mut self, upstream: UpstreamIndex, health: HealthWeight) {
        self.fleet.upstream_mut(upstream).health = health;
        self.update_class(upstream);
    }

    /// Sets the learned speed of an upstream; 1 is the speed that run times refer to.
    pub fn set_speed(&mut self, upstream: UpstreamIndex, speed: f64) {
        self.fleet.upstream_mut(upstream).speed = speed;
        self.update_class(upstream);
    }

    /// Updates the round trip time to the zone of an upstream with an observation in
    /// microseconds, which excludes the time spent at the upstream.
    pub fn observe_round_trip(&mut self, upstream: UpstreamIndex, round_trip_us: u64) {
        let group = self.fleet.upstream(upstream).group;
        self.delays.observe(self.fleet.group(group).zone, round_trip_us);
    }

    /// Records that a hello message was sent to an upstream.  Offers spent from now on are
    /// subtracted from those in the reply.
    pub fn record_hello_sent(&mut self, upstream: UpstreamIndex) {
        self.fleet.upstream_mut(upstream).spent_since_hello = Some(0);
    }

    /// Sets the offers and the load of an upstream from the reply to a hello.
    pub fn set_offers(
        &mut self,
        now_us: u64,
        upstream: UpstreamIndex,
        offers: u32,
        load: AgentLoad,
    ) {
        let state = self.fleet.upstream_mut(upstream);
        let spent = state.spent_since_hello.take().unwrap_or(0);
        state.offers = i32::try_from(offers).unwrap_or(i32::MAX).saturating_sub(spent);
        state.load = load;
        state.last_report_us = Some(now_us);
        self.clear_started_fallback(upstream);
        self.update_indexes(upstream);
    }

    /// Returns the reason why no upstream of the pools could ever run a task with this charge.
    /// Upstreams that are out of service count too, because they may return.  Returns `None` if
    /// the pools have no known upstream.
    pub fn never_fits(&self, pools: &[PoolIndex], charge: Resources) -> Option<NeverFits> {
        let capacities = self.groups(pools).map(|group| self.fleet.group(group).capacity);
        NeverFits::check(charge, capacities)
    }

    /// Chooses an upstream for the first of `queue_len` queued tasks.
    pub fn choose(
        &self,
        now_us: u64,
        rng: &mut impl Rng,
        task: &TaskRequirements<'_>,
        queue_len: u32,
    ) -> Choice {
        let is_soon_enough =
            |candidate: &Candidate| !self.should_wait(now_us, candidate, task, queue_len);
        if let Some(offer) = self.best_offer(rng, task).filter(is_soon_enough) {
            return Choice::Offer(offer.upstream);
        }
        match self.better_of_two_fallbacks(rng, task).filter(is_soon_enough) {
            Some(candidate) => Choice::Fallback(candidate.upstream),
            None => Choice::Wait,
        }
    }

    /// Records a task as outstanding at the chosen upstream.  Returns `None` for
    /// [`Choice::Wait`].
    pub fn record_dispatch(
        &mut self,
        now_us: u64,
        choice: Choice,
        task: &TaskRequirements<'_>,
    ) -> Option<Dispatch> {
        let upstream = choice.upstream()?;
        let uses_offer = matches!(choice, Choice::Offer(_));
        let state = self.fleet.upstream_mut(upstream);
        state.outstanding += 1;
        state.load.running += 1;
        state.charged = state.charged.saturating_add(task.charge);
        if uses_offer {
            state.spend_offer();
        } else {
            state.fallback_sent_us = Some(now_us);
        }
        let class = state.class;
        let dispatch = Dispatch {
            upstream,
            incarnation: state.spec.incarnation,
            uses_offer,
            charge: task.charge,
            sent_us: now_us,
            generation: state.generation,
        };
        self.speeds_mut(upstream).add_busy(class, 1);
        self.observe_work(now_us, upstream, task.expected_us);
        self.update_indexes(upstream);
        Some(dispatch)
    }

    /// Records a reply: the task is no longer outstanding, and the offers and load of the
    /// upstream are updated.  Does nothing if the upstream was lost or restarted since the
    /// dispatch.
    pub fn record_reply(
        &mut self,
        now_us: u64,
        dispatch: Dispatch,
        offers_delta: i32,
        load: AgentLoad,
    ) {
        if !self.is_current(&dispatch) {
            return;
        }
        let state = self.fleet.upstream_mut(dispatch.upstream);
        state.offers = state.offers.saturating_add(offers_delta);
        state.load = load;
        state.last_report_us = Some(now_us);
        self.clear_started_fallback(dispatch.upstream);
        self.release(dispatch);
    }

    /// Records that a task is no longer outstanding although no reply was received.
    pub fn record_loss(&mut self, dispatch: Dispatch) {
        if self.is_current(&dispatch) {
            self.release(dispatch);
        }
    }

    /// Returns whether an attempt sent at `sent_us` may still be queued at an upstream: no load
    /// report since its arrival shows an empty queue.
    pub(crate) fn may_be_queued(&self, upstream: UpstreamIndex, sent_us: u64) -> bool {
        let state = self.fleet.upstream(upstream);
        let round_trip_us = self.delays.round_trip_us(self.fleet.group(state.group).zone);
        let arrived_us = sent_us + round_trip_us as u64;
        let is_report_later = state.last_report_us.is_some_and(|at_us| at_us > arrived_us);
        !is_report_later || state.load.queued > 0
    }

    /// Allows another fallback to an upstream once the last one is known to have started.
    fn clear_started_fallback(&mut self, upstream: UpstreamIndex) {
        let fallback_sent_us = self.fleet.upstream(upstream).fallback_sent_us;
        let still_queued =
            fallback_sent_us.filter(|sent_us| self.may_be_queued(upstream, *sent_us));
        self.fleet.upstream_mut(upstream).fallback_sent_us = still_queued;
    }

    fn is_current(&self, dispatch: &Dispatch) -> bool {
        self.fleet.upstream(dispatch.upstream).generation == dispatch.generation
    }

    fn release(&mut self, dispatch: Dispatch) {
        let state = self.fleet.upstream_mut(dispatch.upstream);
        state.outstanding = state.outstanding.saturating_sub(1);
        if !dispatch.uses_offer && state.fallback_sent_us == Some(dispatch.sent_us) {
            state.fallback_sent_us = None;
        }
        state.charged = state.charged.saturating_sub(dispatch.charge);
        let class = state.class;
        self.speeds_mut(dispatch.upstream).remove_busy(class, 1);
        self.update_indexes(dispatch.upstream);
    }

    fn groups<'a>(
        &'a self,
        pools: &'a [PoolIndex],
    ) -> impl Iterator<Item = GroupIndex> + Clone + 'a {
        pools.iter().flat_map(|pool| self.fleet.groups_of(*pool)).copied()
    }

    /// Returns the groups whose upstreams have the capacity for a task.
    fn fitting_groups<'a>(
        &'a self,
        task: &'a TaskRequirements<'_>,
    ) -> impl Iterator<Item = GroupIndex> + Clone + 'a {
        self.groups(task.pools)
            .filter(|group| task.charge.fits_in(self.fleet.group(*group).capacity))
    }

    /// Returns the upstream with an offer that has the lowest expected completion time.
    fn best_offer(&self, rng: &mut impl Rng, task: &TaskRequirements<'_>) -> Option<Candidate> {
        self.fitting_groups(task).fold(None, |best, group| {
            let limit_us = best.map_or(f64::INFINITY, |best: Candidate| best.completion_us);
            self.best_of_group(rng, task, group, limit_us).or(best)
        })
    }

    /// Returns the best upstream with an offer in a group, if it completes before a limit.
    fn best_of_group(
        &self,
        rng: &mut impl Rng,
        task: &TaskRequirements<'_>,
        group: GroupIndex,
        limit_us: f64,
    ) -> Option<Candidate> {
        self.offered
            .classes(group)
            .map(|class| (class, self.completion_us(group, class, task)))
            .take_while(|(_, completion_us)| *completion_us < limit_us)
            .find_map(|(class, completion_us)| {
                let members = self.offered.members(group, class);
                let upstream = self.pick_member(rng, members, task)?;
                Some(Candidate { upstream, completion_us })
            })
    }

    /// Returns a suitable member on the rack that the job uses least, searching from a random
    /// position.
    fn pick_member(
        &self,
        rng: &mut impl Rng,
        members: &[UpstreamIndex],
        task: &TaskRequirements<'_>,
    ) -> Option<UpstreamIndex> {
        let (before, after) = members.split_at(rng.random_range(0..members.len()));
        after
            .iter()
            .chain(before)
            .copied()
            .take(MAX_PROBES)
            .filter(|upstream| self.is_suitable(*upstream, task))
            .take(SPREAD_CHOICES)
            .min_by_key(|upstream| task.spread.count(self.rack(*upstream)))
    }

    /// Returns the better of two upstreams, sampled by speed among those that accept a fallback:
    /// one with an idle slot, then the one with the lower expected completion time.
    fn better_of_two_fallbacks(
        &self,
        rng: &mut impl Rng,
        task: &TaskRequirements<'_>,
    ) -> Option<Candidate> {
        let first = self.sample_fallback(rng, task)?;
        let second = self.sample_fallback(rng, task)?;
        let sort_key = |candidate: &Candidate| {
            let is_idle = self.fleet.upstream(candidate.upstream).has_idle_slot();
            (!is_idle, candidate.completion_us)
        };
        Some(if sort_key(&second) < sort_key(&first) { second } else { first })
    }

    fn sample_fallback(
        &self,
        rng: &mut impl Rng,
        task: &TaskRequirements<'_>,
    ) -> Option<Candidate> {
        (0..MAX_SAMPLES)
            .map_while(|_| self.fallback.sample(rng, self.fitting_groups(task)))
            .find(|upstream| self.is_suitable(*upstream, task))
            .or_else(|| self.search_fallback(task))
            .map(|upstream| self.candidate(upstream, task))
    }

    /// Returns any suitable upstream; needed for tasks that few upstreams are suitable for.
    fn search_fallback(&self, task: &TaskRequirements<'_>) -> Option<UpstreamIndex> {
        self.fitting_groups(task)
            .flat_map(|group| {
                let members = move |class| self.fallback.members(group, class);
                self.fallback.classes(group).flat_map(members)
            })
            .copied()
            .find(|upstream| self.is_suitable(*upstream, task))
    }

    fn candidate(&self, upstream: UpstreamIndex, task: &TaskRequirements<'_>) -> Candidate {
        let Upstream { group, class, .. } = self.fleet.upstream(upstream);
        Candidate { upstream, completion_us: self.completion_us(*group, *class, task) }
    }

    fn is_suitable(&self, upstream: UpstreamIndex, task: &TaskRequirements<'_>) -> bool {
        !task.avoid.contains(&upstream) && self.fleet.upstream(upstream).fits(task.charge)
    }

    fn completion_us(
        &self,
        group: GroupIndex,
        class: SpeedClass,
        task: &TaskRequirements<'_>,
    ) -> f64 {
        let zone = self.fleet.group(group).zone;
        class.run_us(task.expected_us as f64) + self.delays.round_trip_us(zone)
    }

    /// Returns whether a task should wait rather than use a slot: the slot is far slower than the
    /// mean and not needed for the load, and the last of the queued tasks would complete sooner
    /// on a faster slot that runs a task of this entry now.  With many queued tasks this is never
    /// the case.
    fn should_wait(
        &self,
        now_us: u64,
        candidate: &Candidate,
        task: &TaskRequirements<'_>,
        queue_len: u32,
    ) -> bool {
        if candidate.completion_us <= task.job_remaining_us as f64 {
            return false;
        }
        let Upstream { group, class, .. } = self.fleet.upstream(candidate.upstream);
        let Group { pool, zone, .. } = self.fleet.group(*group);
        let speeds = &self.speeds_by_pool[pool.as_usize()];
        let work_us = task.expected_us as f64;
        let faster_us = || {
            let run_us =
                speeds.faster_completion_us(*class, work_us, queue_len, self.mean_work_us)?;
            Some(run_us + self.delays.round_trip_us(*zone))
        };
        speeds.is_slow_and_unneeded(now_us, *class, self.entry_count)
            && faster_us().is_some_and(|us| us < candidate.completion_us)
    }

    fn observe_work(&mut self, now_us: u64, upstream: UpstreamIndex, expected_us: u64) {
        let work_us = expected_us as f64;
        self.speeds_mut(upstream).observe_work(now_us, work_us);
        self.mean_work_us = match self.mean_work_us {
            0.0 => work_us,
            mean => mean + WORK_GAIN * (work_us - mean),
        };
    }

    fn speeds_mut(&mut self, upstream: UpstreamIndex) -> &mut PoolSpeeds {
        let group = self.fleet.upstream(upstream).group;
        let pool = self.fleet.group(group).pool;
        &mut self.speeds_by_pool[pool.as_usize()]
    }

    fn remove_busy_tasks(&mut self, upstream: UpstreamIndex) {
        let Upstream { class, outstanding, .. } = *self.fleet.upstream(upstream);
        self.speeds_mut(upstream).remove_busy(class, outstanding);
    }

    /// Removes a known upstream from the counts of its pool, and resets it if its agent was
    /// restarted.
    fn prepare_registration(&mut self, upstream: UpstreamIndex, incarnation: Incarnation) {
        self.remove_busy_tasks(upstream);
        self.update_serving_class(upstream, None);
        let state = self.fleet.upstream_mut(upstream);
        if state.spec.incarnation != incarnation {
            state.reset();
        }
    }

    fn update_class(&mut self, upstream: UpstreamIndex) {
        self.remove_busy_tasks(upstream);
        let state = self.fleet.upstream_mut(upstream);
        state.class = state.effective_class();
        let (class, outstanding) = (state.class, state.outstanding);
        self.speeds_mut(upstream).add_busy(class, outstanding);
        self.update_indexes(upstream);
    }

    fn update_indexes(&mut self, upstream: UpstreamIndex) {
        let state = self.fleet.upstream(upstream);
        let group_and_class = Some((state.group, state.class));
        let accepts_fallback = state.accepts_fallback(self.entry_count);
        self.offered.set(upstream, group_and_class.filter(|_| state.accepts_offered()));
        self.fallback.set(upstream, group_and_class.filter(|_| accepts_fallback));
        let counted_class = state.is_serving().then_some(state.class);
        self.update_serving_class(upstream, counted_class);
    }

    /// Sets the class as which an upstream counts in the mean speed of its pool.
    fn update_serving_class(&mut self, upstream: UpstreamIndex, class: Option<SpeedClass>) {
        let counted_class =
            std::mem::replace(&mut self.fleet.upstream_mut(upstream).counted_class, class);
        if counted_class == class {
            return;
        }
        let slots = self.fleet.upstream(upstream).max_running();
        let speeds = self.speeds_mut(upstream);
        if let Some(class) = counted_class {
            speeds.remove_serving(class, slots);
        }
        if let Some(class) = class {
            speeds.add_serving(class, slots);
        }
    }
}
