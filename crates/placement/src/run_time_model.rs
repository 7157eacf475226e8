use crate::moving_mean::MovingMean;

/// Number of observations that the declared run time counts as.
const PRIOR_WEIGHT: f64 = 2.0;

/// Largest number of observations that the estimate counts as; older ones are discounted.
const MAX_WEIGHT: f64 = 256.0;

/// Observations from which on run times are used to estimate the speeds of upstreams.
const MIN_OBSERVATIONS: u32 = 16;

/// Estimated run time of one kind on an upstream of speed 1.
#[derive(Clone, Debug)]
pub(crate) struct RunTimeModel {
    mean_us: MovingMean,
    log_mean: MovingMean,
    observations: u32,
}

impl RunTimeModel {
    pub(crate) fn new(declared_us: u64) -> Self {
        let declared_us = declared_us.max(1) as f64;
        Self {
            mean_us: MovingMean::new(declared_us, PRIOR_WEIGHT, MAX_WEIGHT),
            log_mean: MovingMean::new(declared_us.ln(), PRIOR_WEIGHT, MAX_WEIGHT),
            observations: 0,
        }
    }

    /// Adds a run time in microseconds that was multiplied by the upstream's speed.
    pub(crate) fn observe(&mut self, work_us: f64) {
        self.mean_us.observe(work_us);
        self.log_mean.observe(work_us.ln());
        self.observations = self.observations.saturating_add(1);
    }

    pub(crate) fn expected_us(&self) -> u64 {
        self.mean_us.value().round().max(1.0) as u64
    }

    /// Returns the natural logarithm of the speed that a run time in microseconds implies, or
    /// `None` while there are too few observations of the kind.
    pub(crate) fn log_speed(&self, run_us: f64) -> Option<f64> {
        let is_known = self.observations >= MIN_OBSERVATIONS;
        is_known.then(|| self.log_mean.value() - run_us.ln())
    }
}
