use std::mem;

use indexmap::IndexMap;
use types::{JobId, UpstreamName};

use crate::{
    HealthChange, HealthState, HealthTrackerBuilder, Outcome, job_tallies::JobTallies,
    job_tally::Revision, upstream_health::UpstreamHealth,
};

/// Health of the upstreams of one pool, judged on the outcomes of their tasks.
///
/// An upstream is ejected on evidence that it fails more than the others do, returns into
/// probation after a growing back-off and regains its weight slowly.  A job that fails
/// everywhere is no evidence.  Each outcome costs constant time.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthTrackerBuilder,
    upstreams: IndexMap<UpstreamName, UpstreamHealth>,
    jobs: JobTallies,
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
            jobs: JobTallies::default(),
            present: 0,
            ejected: 0,
            rated: 0,
            sum_of_rates: 0.0,
            changes: Vec::new(),
        }
    }

    /// Changes the largest part of the pool in percent that may be ejected at once.
    pub fn set_max_ejected_percent(&mut self, percent: u8) {
        self.settings.max_ejected_percent = percent;
    }

    /// Adds an upstream to the pool.  One that left while it was not healthy comes back as
    /// it was.
    pub fn add_upstream(&mut self, upstream: &UpstreamName, now_us: u64) {
        let entry = self.upstreams.entry(upstream.clone());
        let index = entry.index();
        entry.or_insert_with(|| UpstreamHealth::new(now_us));
        self.update(index, |health| health.is_present = true);
    }

    /// Takes an upstream out of the pool.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        let Some(index) = self.upstreams.get_index_of(upstream) else { return };
        self.update(index, |health| health.is_present = false);
        if self.upstreams[index].is_blameless() {
            self.upstreams.swap_remove_index(index);
        }
    }

    /// Records how an attempt at a task of a job ended; cancelled attempts are not recorded.  Outcomes of upstreams that have
    /// left or are ejected are ignored.
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

    /// Moves upstreams whose ejection is over into probation, and returns the changes of
    /// state since the last call.
    pub fn poll(&mut self, now_us: u64) -> Vec<HealthChange> {
        if self.ejected > 0 {
            self.end_ejections(now_us);
        }
        mem::take(&mut self.changes)
    }

    /// Returns the state of an upstream; `None` if it is not in the pool.
    pub fn state(&self, upstream: &UpstreamName) -> Option<HealthState> {
        self.present(upstream).map(UpstreamHealth::state)
    }

    /// Returns the weight of an upstream for placement, from 0 to 1; 0 if it is not in the
    /// pool.
    pub fn weight(&self, upstream: &UpstreamName, now_us: u64) -> f64 {
        self.present(upstream).map_or(0.0, |health| health.weight(now_us, &self.settings))
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected_count(&self) -> usize {
        self.ejected
    }

    fn present(&self, upstream: &UpstreamName) -> Option<&UpstreamHealth> {
        self.upstreams.get(upstream).filter(|health| health.is_present)
    }

    fn record_good(&mut self, index: usize, upstream: &UpstreamName, job: JobId, now_us: u64) {
        let settings = self.settings;
        self.change(index, now_us, |health| health.record_good(now_us, &settings));
        let pool_rate = self.rate_of_others(index);
        let Some(tally) = self.jobs.get_mut(job) else { return };
        for Revision { upstream, evidence } in tally.record_good(upstream, pool_rate) {
            if let Some(index) = self.upstreams.get_index_of(&upstream) {
                self.judge(index, now_us, |health| health.add_evidence(evidence));
            }
        }
    }

    fn record_bad(&mut self, index: usize, upstream: &UpstreamName, job: JobId, now_us: u64) {
        let pool_rate = self.rate_of_others(index);
        let evidence = self.jobs.get_or_insert(job).record_bad(upstream, pool_rate);
        self.judge(index, now_us, |health| health.record_bad(evidence));
    }

    /// Adds evidence against an upstream; one that proves unsound is ejected, or eased out
    /// while no more may be ejected.
    fn judge(&mut self, index: usize, now_us: u64, step: impl FnOnce(&mut UpstreamHealth)) {
        let settings = self.settings;
        let may_eject = self.ejected < self.max_ejected();
        self.change(index, now_us, |health| {
            step(health);
            match (health.is_unsound(), may_eject) {
                (false, _) => {}
                (true, true) => health.eject(now_us, &settings),
                (true, false) => health.start_probation(now_us),
            }
        });
    }

    /// Returns the mean failure rate of the other upstreams; each counts alike, however
    /// many tasks it fails.
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
                self.change(index, now_us, |health| health.start_probation(now_us));
            }
        }
    }

    /// Applies a step to an upstream and records a change of its state.
    fn change(&mut self, index: usize, now_us: u64, step: impl FnOnce(&mut UpstreamHealth)) {
        let from = self.upstreams[index].state();
        self.update(index, step);
        let Some((upstream, health)) = self.upstreams.get_index(index) else { return };
        let to = health.state();
        if from != to {
            let upstream = upstream.clone();
            let recent_ejections = health.recent_ejections();
            self.changes.push(HealthChange { upstream, from, to, at_us: now_us, recent_ejections });
        }
    }

    /// Applies a step to an upstream and keeps the sums over the pool.
    fn update(&mut self, index: usize, step: impl FnOnce(&mut UpstreamHealth)) {
        let before = Sums::of(&self.upstreams[index]);
        step(&mut self.upstreams[index]);
        let after = Sums::of(&self.upstreams[index]);
        self.present = self.present + after.present - before.present;
        self.ejected = self.ejected + after.ejected - before.ejected;
        self.rated = self.rated + after.rated - before.rated;
        self.sum_of_rates += after.rate - before.rate;
    }
}

/// What one upstream adds to the sums over the pool.
struct Sums {
    present: usize,
    ejected: usize,
    rated: usize,
    rate: f64,
}

impl Sums {
    fn of(health: &UpstreamHealth) -> Self {
        let rate = health.counted_rate();
        let present = usize::from(health.is_present);
        let rated = usize::from(rate.is_some());
        Self { present, ejected: present - rated, rated, rate: rate.unwrap_or(0.0) }
    }
}
