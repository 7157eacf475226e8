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

/// Members of a speed class that are looked at before the next class is tried.
const MAX_PROBES: usize = 32;

/// Suitable members of a speed class among which the job's racks decide.
const SPREAD_CHOICES: usize = 4;

/// Samples without an offer before all members are searched.
const MAX_SAMPLES: usize = 8;

/// Weight of a new task in the moving average of the expected run time.
const WORK_GAIN: f64 = 1.0 / 64.0;

/// An upstream under consideration with the time in microseconds until the answer.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    upstream: UpstreamIndex,
    completion_us: f64,
}

/// An entry's view of the upstreams and its choice among them.
///
/// The caller reports every dispatch, reply and loss; a choice by itself changes nothing.
#[derive(Clone, Debug)]
pub struct Placer {
    location: Location,
    fleet: Fleet,
    delays: ZoneDelays,
    offered: SpeedIndex,
    unoffered: SpeedIndex,
    speeds_by_pool: Vec<PoolSpeeds>,
    mean_work_us: f64,
    entries: u32,
}

impl Placer {
    /// Creates a placer without upstreams for an entry at a location.
    pub fn new(location: Location) -> Self {
        Self {
            location,
            fleet: Fleet::default(),
            delays: ZoneDelays::default(),
            offered: SpeedIndex::default(),
            unoffered: SpeedIndex::default(),
            speeds_by_pool: Vec::new(),
            mean_work_us: 0.0,
            entries: 1,
        }
    }

    /// Sets the number of live entries, this one included.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
        self.fleet.iter_indices().for_each(|upstream| self.reindex(upstream));
    }

    /// Returns the position of a pool; it may have no upstream yet.
    pub fn pool_index(&mut self, name: &PoolName) -> PoolIndex {
        let pool = self.fleet.pool_index(name);
        self.speeds_by_pool.resize_with(self.fleet.pool_count(), PoolSpeeds::default);
        pool
    }

    /// Returns the position of an upstream, if it is known.
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

    /// Returns the offers held of an upstream; negative while replies are on their way.
    pub fn offers(&self, upstream: UpstreamIndex) -> i32 {
        self.fleet.upstream(upstream).offers
    }

    /// Returns the own tasks outstanding at an upstream.
    pub fn outstanding(&self, upstream: UpstreamIndex) -> u32 {
        self.fleet.upstream(upstream).outstanding
    }

    /// Adds an upstream or renews its announcement.  A new incarnation starts without offers
    /// and without tasks outstanding.
    pub fn register_upstream(&mut self, spec: UpstreamSpec) -> UpstreamIndex {
        if let Some(known) = self.fleet.upstream_index(&spec.name) {
            self.withdraw(known, spec.incarnation);
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
        self.reindex(upstream);
        upstream
    }

    /// Takes an upstream out that is gone; its tasks outstanding are forgotten.
    pub fn mark_down(&mut self, upstream: UpstreamIndex) {
        self.remove_from_busy(upstream);
        let state = self.fleet.upstream_mut(upstream);
        state.reset();
        state.state = UpstreamState::Down;
        self.reindex(upstream);
    }

    /// Takes an upstream out that is leaving; its tasks outstanding still count.
    pub fn mark_draining(&mut self, upstream: UpstreamIndex) {
        let state = self.fleet.upstream_mut(upstream);
        if state.state == UpstreamState::Serving {
            state.state = UpstreamState::Draining;
        }
        self.reindex(upstream);
    }

    /// Sets the health of an upstream.
    pub fn set_health(&mut self, upstream: UpstreamIndex, health: HealthWeight) {
        self.fleet.upstream_mut(upstream).health = health;
        self.reclass(upstream);
    }

    /// Sets the learned speed of an upstream; 1 is the speed that run times refer to.
    pub fn set_speed(&mut self, upstream: UpstreamIndex, speed: f64) {
        self.fleet.upstream_mut(upstream).speed = speed;
        self.reclass(upstream);
    }

    /// Learns from a round trip in microseconds to an upstream, without time spent there.
    pub fn observe_round_trip(&mut self, upstream: UpstreamIndex, round_trip_us: u64) {
        let group = self.fleet.upstream(upstream).group;
        self.delays.observe(self.fleet.group(group).zone, round_trip_us);
    }

    /// Notes that a hello was sent to an upstream; offers spent from now on come off those in
    /// its answer.
    pub fn record_hello_sent(&mut self, upstream: UpstreamIndex) {
        self.fleet.upstream_mut(upstream).spent_since_hello = Some(0);
    }

    /// Sets the offers and the load of an upstream from the answer to a hello.
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
        state.reported_us = Some(now_us);
        self.note_start_of_unoffered(upstream);
        self.reindex(upstream);
    }

    /// Returns why no upstream of the pools could ever run a task with this charge.
    /// Upstreams that are out or gone count as if they could come back; with none known the
    /// answer is nothing.
    pub fn never_fits(&self, pools: &[PoolIndex], charge: Resources) -> Option<NeverFits> {
        let capacities = self.groups(pools).map(|group| self.fleet.group(group).capacity);
        NeverFits::check(charge, capacities)
    }

    /// Chooses an upstream for a task, the longest waiting of `queue_len` tasks in all.
    pub fn choose(
        &self,
        now_us: u64,
        rng: &mut impl Rng,
        need: &TaskRequirements<'_>,
        queue_len: u32,
    ) -> Choice {
        let is_soon_enough =
            |candidate: &Candidate| !self.pays_to_wait(now_us, candidate, need, queue_len);
        if let Some(offer) = self.best_offer(rng, need).filter(is_soon_enough) {
            return Choice::Offer(offer.upstream);
        }
        match self.better_of_two(rng, need).filter(is_soon_enough) {
            Some(candidate) => Choice::Fallback(candidate.upstream),
            None => Choice::Wait,
        }
    }

    /// Counts a task as outstanding at the chosen upstream; nothing for [`Choice::Wait`].
    pub fn record_dispatch(
        &mut self,
        now_us: u64,
        choice: Choice,
        need: &TaskRequirements<'_>,
    ) -> Option<Dispatch> {
        let upstream = choice.upstream()?;
        let uses_offer = matches!(choice, Choice::Offer(_));
        let state = self.fleet.upstream_mut(upstream);
        state.outstanding += 1;
        state.load.running += 1;
        state.charged = state.charged.saturating_add(need.charge);
        if uses_offer {
            state.spend_offer();
        } else {
            state.unoffered_us = Some(now_us);
        }
        let class = state.class;
        let dispatch = Dispatch {
            upstream,
            incarnation: state.spec.incarnation,
            uses_offer,
            charge: need.charge,
            sent_us: now_us,
            generation: state.generation,
        };
        self.speeds_mut(upstream).add_busy(class, 1);
        self.observe_work(now_us, upstream, need.expected_us);
        self.reindex(upstream);
        Some(dispatch)
    }

    /// Counts a reply: the task is no longer outstanding, offers change, the load is known.
    /// A reply from before a restart or loss of the upstream changes nothing.
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
        state.reported_us = Some(now_us);
        self.note_start_of_unoffered(dispatch.upstream);
        self.release(dispatch);
    }

    /// Counts a task as no longer outstanding though no reply came.
    pub fn record_loss(&mut self, dispatch: Dispatch) {
        if self.is_current(&dispatch) {
            self.release(dispatch);
        }
    }

    /// Returns whether an attempt sent at `sent_us` may still wait at an upstream: no load
    /// report since its arrival shows an empty queue.
    pub(crate) fn may_be_queued(&self, upstream: UpstreamIndex, sent_us: u64) -> bool {
        let state = self.fleet.upstream(upstream);
        let round_trip_us = self.delays.round_trip_us(self.fleet.group(state.group).zone);
        let arrived_us = sent_us + round_trip_us as u64;
        let is_report_later = state.reported_us.is_some_and(|at_us| at_us > arrived_us);
        !is_report_later || state.load.queued > 0
    }

    /// Allows another task without an offer once the last one is known to have started.
    fn note_start_of_unoffered(&mut self, upstream: UpstreamIndex) {
        let unoffered_us = self.fleet.upstream(upstream).unoffered_us;
        let still_waiting = unoffered_us.filter(|sent_us| self.may_be_queued(upstream, *sent_us));
        self.fleet.upstream_mut(upstream).unoffered_us = still_waiting;
    }

    fn is_current(&self, dispatch: &Dispatch) -> bool {
        self.fleet.upstream(dispatch.upstream).generation == dispatch.generation
    }

    fn release(&mut self, dispatch: Dispatch) {
        let state = self.fleet.upstream_mut(dispatch.upstream);
        state.outstanding = state.outstanding.saturating_sub(1);
        if !dispatch.uses_offer && state.unoffered_us == Some(dispatch.sent_us) {
            state.unoffered_us = None;
        }
        state.charged = state.charged.saturating_sub(dispatch.charge);
        let class = state.class;
        self.speeds_mut(dispatch.upstream).remove_busy(class, 1);
        self.reindex(dispatch.upstream);
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
        need: &'a TaskRequirements<'_>,
    ) -> impl Iterator<Item = GroupIndex> + Clone + 'a {
        self.groups(need.pools)
            .filter(|group| need.charge.fits_in(self.fleet.group(*group).capacity))
    }

    /// Returns the offered upstream with the lowest expected completion time.
    fn best_offer(&self, rng: &mut impl Rng, need: &TaskRequirements<'_>) -> Option<Candidate> {
        self.fitting_groups(need).fold(None, |best, group| {
            let limit_us = best.map_or(f64::INFINITY, |best: Candidate| best.completion_us);
            self.best_of_group(rng, need, group, limit_us).or(best)
        })
    }

    /// Returns the best offered upstream of a group that is sooner than a limit.
    fn best_of_group(
        &self,
        rng: &mut impl Rng,
        need: &TaskRequirements<'_>,
        group: GroupIndex,
        limit_us: f64,
    ) -> Option<Candidate> {
        self.offered
            .classes(group)
            .map(|class| (class, self.completion_us(group, class, need)))
            .take_while(|(_, completion_us)| *completion_us < limit_us)
            .find_map(|(class, completion_us)| {
                let members = self.offered.members(group, class);
                let upstream = self.pick_member(rng, members, need)?;
                Some(Candidate { upstream, completion_us })
            })
    }

    fn pick_member(
        &self,
        rng: &mut impl Rng,
        members: &[UpstreamIndex],
        need: &TaskRequirements<'_>,
    ) -> Option<UpstreamIndex> {
        let (before, after) = members.split_at(rng.random_range(0..members.len()));
        after
            .iter()
            .chain(before)
            .copied()
            .take(MAX_PROBES)
            .filter(|upstream| self.is_suitable(*upstream, need))
            .take(SPREAD_CHOICES)
            .min_by_key(|upstream| need.spread.count(self.rack(*upstream)))
    }

    /// Returns the better of two upstreams sampled by speed among those that may be sent a
    /// task without an offer; one with an idle slot goes first.
    fn better_of_two(&self, rng: &mut impl Rng, need: &TaskRequirements<'_>) -> Option<Candidate> {
        let first = self.sample_unoffered(rng, need)?;
        let second = self.sample_unoffered(rng, need)?;
        let order = |candidate: &Candidate| {
            let is_idle = self.fleet.upstream(candidate.upstream).has_idle_slot();
            (!is_idle, candidate.completion_us)
        };
        Some(if order(&second) < order(&first) { second } else { first })
    }

    fn sample_unoffered(
        &self,
        rng: &mut impl Rng,
        need: &TaskRequirements<'_>,
    ) -> Option<Candidate> {
        (0..MAX_SAMPLES)
            .map_while(|_| self.unoffered.sample(rng, self.fitting_groups(need)))
            .find(|upstream| self.is_suitable(*upstream, need))
            .or_else(|| self.search_unoffered(need))
            .map(|upstream| self.candidate(upstream, need))
    }

    /// Returns any suitable upstream, for tasks that most upstreams do not suit.
    fn search_unoffered(&self, need: &TaskRequirements<'_>) -> Option<UpstreamIndex> {
        self.fitting_groups(need)
            .flat_map(|group| {
                let members = move |class| self.unoffered.members(group, class);
                self.unoffered.classes(group).flat_map(members)
            })
            .copied()
            .find(|upstream| self.is_suitable(*upstream, need))
    }

    fn candidate(&self, upstream: UpstreamIndex, need: &TaskRequirements<'_>) -> Candidate {
        let Upstream { group, class, .. } = self.fleet.upstream(upstream);
        Candidate { upstream, completion_us: self.completion_us(*group, *class, need) }
    }

    fn is_suitable(&self, upstream: UpstreamIndex, need: &TaskRequirements<'_>) -> bool {
        !need.avoid.contains(&upstream) && self.fleet.upstream(upstream).fits(need.charge)
    }

    fn completion_us(
        &self,
        group: GroupIndex,
        class: SpeedClass,
        need: &TaskRequirements<'_>,
    ) -> f64 {
        let zone = self.fleet.group(group).zone;
        class.run_us(need.expected_us as f64) + self.delays.round_trip_us(zone)
    }

    /// Returns whether a slot is far slower than the mean, the load does not need it, and the
    /// last of the waiting tasks would end sooner on a faster slot that is busy with an own
    /// task now.  With many tasks waiting it never would.
    fn pays_to_wait(
        &self,
        now_us: u64,
        candidate: &Candidate,
        need: &TaskRequirements<'_>,
        queue_len: u32,
    ) -> bool {
        if candidate.completion_us <= need.job_remaining_us as f64 {
            return false;
        }
        let Upstream { group, class, .. } = self.fleet.upstream(candidate.upstream);
        let Group { pool, zone, .. } = self.fleet.group(*group);
        let speeds = &self.speeds_by_pool[pool.at()];
        let work_us = need.expected_us as f64;
        let faster_us = || {
            let run_us =
                speeds.faster_completion_us(*class, work_us, queue_len, self.mean_work_us)?;
            Some(run_us + self.delays.round_trip_us(*zone))
        };
        speeds.is_dispensable(now_us, *class, self.entries)
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
        &mut self.speeds_by_pool[pool.at()]
    }

    fn remove_from_busy(&mut self, upstream: UpstreamIndex) {
        let Upstream { class, outstanding, .. } = *self.fleet.upstream(upstream);
        self.speeds_mut(upstream).remove_busy(class, outstanding);
    }

    /// Prepares a known upstream for a new announcement.
    fn withdraw(&mut self, upstream: UpstreamIndex, incarnation: Incarnation) {
        self.remove_from_busy(upstream);
        self.count_serving(upstream, None);
        let state = self.fleet.upstream_mut(upstream);
        if state.spec.incarnation != incarnation {
            state.reset();
        }
    }

    fn reclass(&mut self, upstream: UpstreamIndex) {
        self.remove_from_busy(upstream);
        let state = self.fleet.upstream_mut(upstream);
        state.class = state.effective_class();
        let (class, outstanding) = (state.class, state.outstanding);
        self.speeds_mut(upstream).add_busy(class, outstanding);
        self.reindex(upstream);
    }

    fn reindex(&mut self, upstream: UpstreamIndex) {
        let state = self.fleet.upstream(upstream);
        let place = Some((state.group, state.class));
        let takes_unoffered = state.takes_unoffered(self.entries);
        self.offered.set(upstream, place.filter(|_| state.takes_offered()));
        self.unoffered.set(upstream, place.filter(|_| takes_unoffered));
        let counted = state.is_serving().then_some(state.class);
        self.count_serving(upstream, counted);
    }

    /// Keeps the mean speed of the pool up to date.
    fn count_serving(&mut self, upstream: UpstreamIndex, class: Option<SpeedClass>) {
        let counted = std::mem::replace(&mut self.fleet.upstream_mut(upstream).counted, class);
        if counted == class {
            return;
        }
        let slots = self.fleet.upstream(upstream).max_running();
        let speeds = self.speeds_mut(upstream);
        if let Some(class) = counted {
            speeds.remove_serving(class, slots);
        }
        if let Some(class) = class {
            speeds.add_serving(class, slots);
        }
    }
}
