use crate::moving_mean::MovingMean;

/// Number of observations that the initial speed of 1 counts as.
const PRIOR_WEIGHT: f64 = 4.0;

/// Largest number of observations that the estimate counts as; older ones are discounted.
const MAX_WEIGHT: f64 = 64.0;

/// Half-life in microseconds of the estimate without observations, so that an upstream that was
/// slow and therefore gets no tasks is tried again.
const HALF_LIFE_US: f64 = 600_000_000.0;

/// Largest absolute value of an observation, as a natural logarithm.
const MAX_LOG_SPEED: f64 = 2.8;

/// Estimated speed of one upstream, as a natural logarithm.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedModel {
    log_speed: MovingMean,
    last_observed_us: u64,
}

impl SpeedModel {
    pub(crate) fn new() -> Self {
        Self { log_speed: MovingMean::new(0.0, PRIOR_WEIGHT, MAX_WEIGHT), last_observed_us: 0 }
    }

    pub(crate) fn observe(&mut self, now_us: u64, log_speed: f64) {
        self.log_speed.decay(self.retained_fraction(now_us));
        self.last_observed_us = now_us;
        self.log_speed.observe(log_speed.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED));
    }

    /// Returns the estimate at the time of the last observation.
    pub(crate) fn last_value(&self) -> f64 {
        self.log_speed.value()
    }

    /// Returns the fraction of the last estimate that still counts, from 0 to 1.
    pub(crate) fn retained_fraction(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.last_observed_us) as f64) / HALF_LIFE_US).exp2()
    }
}
