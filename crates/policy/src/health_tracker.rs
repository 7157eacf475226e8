use std::mem;

use indexmap::IndexMap;
use types::{JobId, UpstreamName};

use crate::{
    HealthChange, HealthState, HealthTrackerBuilder, Outcome, job_histories::JobHistories,
    job_history::Revision, upstream_health::UpstreamHealth,
};

/// Tracks the health of the upstreams of one pool by the outcomes of their attempts.
///
/// An upstream is ejected on evidence that it fails more often than the others, enters
/// probation after a back-off that grows with each ejection, and regains its weight
/// gradually.  A job that fails on all upstreams is not evidence against any of them.
/// Recording an outcome takes constant time.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthTrackerBuilder,
    upstreams: IndexMap<UpstreamName, UpstreamHealth>,
    jobs: JobHistories,
    present: usize,
    ejected: usize,
    rated: usize,
    sum_of_rates: f64,
    changes: Vec<HealthChange>,
}

impl HealthTracker {
    pub(crate) fn with_settings(settings: HealthTrackerBuilder) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
            jobs: JobHistories::default(),
            present: 0,
            ejected: 0,
            rated: 0,
            sum_of_rates: 0.0,
            changes: Vec::new(),
        }
    }

    /// Sets the largest percentage of the pool that may be ejected at once.
    pub fn set_max_ejected_percent(&mut self, percent: u8) {
        self.settings.max_ejected_percent = percent;
    }

    /// Adds an upstream to the pool.  One that was removed while it was not healthy, or with
    /// recent ejections, returns in its previous state.
    pub fn add_upstream(&mut self, upstream: &UpstreamName, now_us: u64) {
        let entry = self.upstreams.entry(upstream.clone());
        let index = entry.index();
        entry.or_insert_with(|| UpstreamHealth::new(now_us));
        self.update(index, |health| health.is_present = true);
    }

    /// Removes an upstream from the pool.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        let Some(index) = self.upstreams.get_index_of(upstream) else { return };
        self.update(index, |health| health.is_present = false);
        if self.upstreams[index].is_discardable() {
            self.upstreams.swap_remove_index(index);
        }
    }

    /// Records the outcome of an attempt at a task of `job`; cancelled attempts are not
    /// recorded.  Outcomes of upstreams that were removed or are ejected are ignored.
    pub fn record(&mut self, upstream: &UpstreamName, job: JobId, outcome: Outcome, now_us: u64) {
        let Some((index, _, health)) = self.upstreams.get_full(upstream) else { return };
        if health.counted_rate().is_none() {
            return;
        }
        match outcome.is_bad(self.settings.slow_factor) {
            true => self.record_bad(index, upstream, job, now_us),
            false => self.record_good(index, upstream, job, now_us),
        }
    }

    /// Puts upstreams whose ejection has ended in probation, and returns the changes of
    /// state since the last call.
    pub fn poll(&mut self, now_us: u64) -> Vec<HealthChange> {
        if self.ejected > 0 {
            self.end_ejections(now_us);
        }
        mem::take(&mut self.changes)
    }

    /// Returns the state of an upstream; `None` if it is not in the pool.
    pub fn state(&self, upstream: &UpstreamName) -> Option<HealthState> {
        self.present_health(upstream).map(UpstreamHealth::state)
    }

    /// Returns the weight of an upstream for placement, from 0 to 1; 0 if it is not in the
    /// pool.
    pub fn weight(&self, upstream: &UpstreamName, now_us: u64) -> f64 {
        self.present_health(upstream).map_or(0.0, |health| health.weight(now_us, &self.settings))
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected_count(&self) -> usize {
        self.ejected
    }

    fn present_health(&self, upstream: &UpstreamName) -> Option<&UpstreamHealth> {
        self.upstreams.get(upstream).filter(|health| health.is_present)
    }

    fn record_good(&mut self, index: usize, upstream: &UpstreamName, job: JobId, now_us: u64) {
        let settings = self.settings;
        self.transition(index, now_us, |health| health.record_good(now_us, &settings));
        let pool_rate = self.rate_of_others(index);
        let Some(history) = self.jobs.get_mut(job) else { return };
        for Revision { upstream, evidence } in history.record_good(upstream, pool_rate) {
            if let Some(index) = self.upstreams.get_index_of(&upstream) {
                self.apply_evidence(index, now_us, |health| health.add_evidence(evidence));
            }
        }
    }

    fn record_bad(&mut self, index: usize, upstream: &UpstreamName, job: JobId, now_us: u64) {
        let pool_rate = self.rate_of_others(index);
        let evidence = self.jobs.get_or_insert(job).record_bad(upstream, pool_rate);
        self.apply_evidence(index, now_us, |health| health.record_bad(evidence));
    }

    /// Applies an action that adds evidence against an upstream.  If the evidence reaches
    /// the threshold, the upstream is ejected, or put in probation, which reduces its
    /// weight, if no more upstreams may be ejected.
    fn apply_evidence(
        &mut self,
        index: usize,
        now_us: u64,
        action: impl FnOnce(&mut UpstreamHealth),
    ) {
        let settings = self.settings;
        let may_eject = self.ejected < self.max_ejected();
        self.transition(index, now_us, |health| {
            action(health);
            match (health.should_eject(), may_eject) {
                (false, _) => {}
                (true, true) => health.eject(now_us, &settings),
                (true, false) => health.start_probation(now_us),
            }
        });
    }

    /// Returns the mean failure rate of the other upstreams; each has the same weight,
    /// however many tasks it fails.
    fn rate_of_others(&self, index: usize) -> f64 {
        let own = self.upstreams[index].counted_rate().unwrap_or(0.0);
        let others = self.rated.saturating_sub(1).max(1);
        (self.sum_of_rates - own).max(0.0) / others as f64
    }

    fn max_ejected(&self) -> usize {
        let percent = usize::from(self.settings.max_ejected_percent);
        if percent == 0 || self.present < 2 {
            return 0;
        }
        (self.present * percent / 100).clamp(1, self.present - 1)
    }

    fn end_ejections(&mut self, now_us: u64) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].is_ejection_over(now_us) {
                self.transition(index, now_us, |health| health.start_probation(now_us));
            }
        }
    }

    /// Applies an action to an upstream and records the change of its state, if any.
    fn transition(&mut self, index: usize, now_us: u64, action: impl FnOnce(&mut UpstreamHealth)) {
        let from = self.upstreams[index].state();
        self.update(index, action);
        let Some((upstream, health)) = self.upstreams.get_index(index) else { return };
        let to = health.state();
        if from != to {
            let upstream = upstream.clone();
            let recent_ejections = health.recent_ejections();
            self.changes.push(HealthChange { upstream, from, to, at_us: now_us, recent_ejections });
        }
    }

    /// Applies an action to an upstream and updates the sums over the pool.
    fn update(&mut self, index: usize, action: impl FnOnce(&mut UpstreamHealth)) {
        let before = Contribution::of(&self.upstreams[index]);
        action(&mut self.upstreams[index]);
        let after = Contribution::of(&self.upstreams[index]);
        self.present = self.present + after.present - before.present;
        self.ejected = self.ejected + after.ejected - before.ejected;
        self.rated = self.rated + after.rated - before.rated;
        self.sum_of_rates += after.rate - before.rate;
    }
}

/// Contribution of one upstream to the sums over the pool.
struct Contribution {
    present: usize,
    ejected: usize,
    rated: usize,
    rate: f64,
}

impl Contribution {
    fn of(health: &UpstreamHealth) -> Self {
        let rate = health.counted_rate();
        let present = usize::from(health.is_present);
        let rated = usize::from(rate.is_some());
        Self { present, ejected: present - rated, rated, rate: rate.unwrap_or(0.0) }
    }
}
