use indexmap::IndexMap;
use types::UpstreamName;

use crate::evidence::Evidence;

/// Number of upstreams whose first good outcome revises the evidence against the others.
const MAX_REVISIONS: usize = 8;

/// Outcomes of one job's tasks on one upstream, with the evidence counted for them.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamCounts {
    good: u32,
    bad: u32,
    evidence: Evidence,
}

impl UpstreamCounts {
    fn failure_rate(self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }
}

/// Additional evidence against an upstream after the job succeeded elsewhere.
pub(crate) struct Revision {
    pub(crate) upstream: UpstreamName,
    pub(crate) evidence: Evidence,
}

/// Outcomes of one job's tasks by upstream, which distinguish a faulty job from a faulty
/// upstream.
#[derive(Debug, Default)]
pub(crate) struct JobHistory {
    upstreams: IndexMap<UpstreamName, UpstreamCounts>,
    sum_of_rates: f64,
    upstreams_with_success: usize,
}

impl JobHistory {
    /// Records a good outcome.  The first one on each of the first few upstreams shows that
    /// earlier bad outcomes elsewhere were not caused by the job; the revisions to their
    /// evidence are returned.
    pub(crate) fn record_good(&mut self, upstream: &UpstreamName, pool_rate: f64) -> Vec<Revision> {
        let is_first = self.update(upstream, |counts| counts.good += 1).good == 1;
        self.upstreams_with_success += usize::from(is_first);
        if !is_first || self.upstreams_with_success > MAX_REVISIONS {
            return Vec::new();
        }
        (0..self.upstreams.len()).filter_map(|index| self.revise(index, pool_rate)).collect()
    }

    /// Records a bad outcome and returns its evidence against the upstream, where the other
    /// upstreams of the pool fail at `pool_rate`.  The evidence is limited as long as the
    /// job has not succeeded elsewhere.
    pub(crate) fn record_bad(&mut self, upstream: &UpstreamName, pool_rate: f64) -> Evidence {
        let counts = self.update(upstream, |counts| counts.bad += 1);
        let evidence = Evidence::of_bad_outcome(self.rate_elsewhere(counts, pool_rate));
        let counted = match self.succeeds_elsewhere(counts) {
            true => evidence,
            false => evidence.limited(Evidence::MAX_PER_JOB, counts.evidence),
        };
        self.update(upstream, |counts| counts.evidence.add(counted));
        counted
    }

    /// Recomputes the evidence of all bad outcomes of an upstream by the rates known now.
    fn revise(&mut self, index: usize, pool_rate: f64) -> Option<Revision> {
        let (_, &counts) = self.upstreams.get_index(index)?;
        if counts.bad == 0 || !self.succeeds_elsewhere(counts) {
            return None;
        }
        let rate = self.conservative_rate_elsewhere(counts, pool_rate);
        let revised = Evidence::of_bad_outcome(rate).times(counts.bad);
        let evidence = revised.excess_over(counts.evidence)?;
        let (upstream, counts) = self.upstreams.get_index_mut(index)?;
        counts.evidence.add(evidence);
        Some(Revision { upstream: upstream.clone(), evidence })
    }

    /// Returns the mean failure rate of the job's other upstreams and of the pool; each
    /// upstream has the same weight, and the pool counts as one upstream.
    fn rate_elsewhere(&self, own: UpstreamCounts, pool_rate: f64) -> f64 {
        (pool_rate + self.sum_of_rates - own.failure_rate()) / self.upstreams.len() as f64
    }

    /// Like [`Self::rate_elsewhere`] with one more upstream that fails half of its tasks,
    /// because the strongest of several revisions is the one that counts.
    fn conservative_rate_elsewhere(&self, own: UpstreamCounts, pool_rate: f64) -> f64 {
        let known = self.upstreams.len() as f64;
        (self.rate_elsewhere(own, pool_rate) * known + 0.5) / (known + 1.0)
    }

    fn succeeds_elsewhere(&self, own: UpstreamCounts) -> bool {
        self.upstreams_with_success > usize::from(own.good > 0)
    }

    fn update(
        &mut self,
        upstream: &UpstreamName,
        action: impl FnOnce(&mut UpstreamCounts),
    ) -> UpstreamCounts {
        let counts = self.upstreams.entry(upstream.clone()).or_default();
        let before = counts.failure_rate();
        action(counts);
        self.sum_of_rates += counts.failure_rate() - before;
        *counts
    }
}
