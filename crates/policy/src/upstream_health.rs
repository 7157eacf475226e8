use crate::{HealthState, HealthTrackerBuilder, evidence::Evidence, failure_rate::FailureRate};

const MIN_WEIGHT: f64 = 0.1;
const PROBATION_SUCCESSES: u32 = 20;
const MAX_RECENT_EJECTIONS: u32 = 16;

#[derive(Clone, Copy, Debug)]
enum State {
    Healthy { since_us: u64 },
    Ejected { until_us: u64 },
    Probation { since_us: u64, successes: u32 },
}

/// Health of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamHealth {
    state: State,
    rate: FailureRate,
    evidence: Evidence,
    recent_ejections: u32,
    pub(crate) is_present: bool,
}

impl UpstreamHealth {
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            state: State::Healthy { since_us: now_us },
            rate: FailureRate::default(),
            evidence: Evidence::default(),
            recent_ejections: 0,
            is_present: false,
        }
    }

    pub(crate) fn state(&self) -> HealthState {
        match self.state {
            State::Healthy { .. } => HealthState::Healthy,
            State::Ejected { .. } => HealthState::Ejected,
            State::Probation { .. } => HealthState::Probation,
        }
    }

    pub(crate) fn recent_ejections(&self) -> u32 {
        self.recent_ejections
    }

    /// Returns whether no state has to be kept after the upstream is removed.
    pub(crate) fn is_discardable(&self) -> bool {
        self.recent_ejections == 0 && self.state() == HealthState::Healthy
    }

    /// Returns the failure rate with which others are compared; `None` if the upstream is
    /// ejected or not in the pool.
    pub(crate) fn counted_rate(&self) -> Option<f64> {
        let is_counted = self.is_present && self.state() != HealthState::Ejected;
        is_counted.then_some(self.rate.get())
    }

    /// Returns the weight for placement, from 0 to 1.
    pub(crate) fn weight(&self, now_us: u64, settings: &HealthTrackerBuilder) -> f64 {
        let ramp = match self.state {
            State::Healthy { .. } => 1.0,
            State::Ejected { .. } => return 0.0,
            State::Probation { since_us, successes } => {
                let elapsed = now_us.saturating_sub(since_us) as f64 / settings.ramp_us as f64;
                elapsed.min(f64::from(successes) / f64::from(PROBATION_SUCCESSES))
            }
        };
        let evidence_factor = 1.0 - self.evidence.ratio_to(self.threshold());
        (ramp * evidence_factor).clamp(MIN_WEIGHT, 1.0)
    }

    pub(crate) fn record_good(&mut self, now_us: u64, settings: &HealthTrackerBuilder) {
        self.rate.record(false);
        self.evidence.subtract_good_outcome();
        match &mut self.state {
            State::Probation { since_us, successes } => {
                *successes += 1;
                let is_over = now_us.saturating_sub(*since_us) >= settings.ramp_us;
                if is_over && *successes >= PROBATION_SUCCESSES {
                    self.state = State::Healthy { since_us: now_us };
                }
            }
            State::Healthy { since_us } if self.recent_ejections > 0 => {
                if now_us.saturating_sub(*since_us) >= settings.max_ejection_us {
                    self.recent_ejections -= 1;
                    *since_us = now_us;
                }
            }
            State::Healthy { .. } | State::Ejected { .. } => {}
        }
    }

    /// Records a bad outcome and adds its evidence.
    pub(crate) fn record_bad(&mut self, evidence: Evidence) {
        self.rate.record(true);
        self.evidence.add(evidence);
    }

    /// Adds evidence of outcomes that were already recorded.
    pub(crate) fn add_evidence(&mut self, evidence: Evidence) {
        self.evidence.add(evidence);
    }

    /// Returns whether the evidence suffices for an ejection.
    pub(crate) fn should_eject(&self) -> bool {
        let is_ejected = self.state() == HealthState::Ejected;
        !is_ejected && self.evidence >= self.threshold()
    }

    pub(crate) fn eject(&mut self, now_us: u64, settings: &HealthTrackerBuilder) {
        let back_off_us = settings.ejection_us.saturating_mul(1 << self.recent_ejections);
        let until_us = now_us.saturating_add(back_off_us.min(settings.max_ejection_us));
        self.recent_ejections = (self.recent_ejections + 1).min(MAX_RECENT_EJECTIONS);
        self.state = State::Ejected { until_us };
        self.reset_statistics();
    }

    pub(crate) fn start_probation(&mut self, now_us: u64) {
        self.state = State::Probation { since_us: now_us, successes: 0 };
        self.reset_statistics();
    }

    pub(crate) fn is_ejection_over(&self, now_us: u64) -> bool {
        matches!(self.state, State::Ejected { until_us } if until_us <= now_us)
    }

    fn reset_statistics(&mut self) {
        self.rate = FailureRate::default();
        self.evidence = Evidence::default();
    }

    fn threshold(&self) -> Evidence {
        match self.state {
            State::Healthy { .. } | State::Ejected { .. } => Evidence::EJECTION_THRESHOLD,
            State::Probation { .. } => Evidence::PROBATION_EJECTION_THRESHOLD,
        }
    }
}
