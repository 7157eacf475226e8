/// Minimum weight of one observation, so that a change of speed shows within about ten tasks.
const MIN_OBSERVATION_WEIGHT: f64 = 0.12;
/// Number of observations that the prior value of 1 counts for.
const PRIOR_OBSERVATIONS: f64 = 3.0;

types::plain! {
    /// Learned speed of an upstream, relative to the mean of its pool; a weighted geometric mean.
    #[derive(Copy, Default)]
    pub(crate) struct Speed {
        log_mean: f64,
        observations: u32,
    }

    /// Learned ratio of actual to declared run times, for one kind of job.
    #[derive(Copy, Default)]
    pub(crate) struct KindRatio {
        log_mean: f64,
        observations: u32,
    }
}

impl Speed {
    /// Adds an observation: the logarithm of expected over actual run time.
    pub(crate) fn observe(&mut self, log_ratio: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight =
            (1.0 / (PRIOR_OBSERVATIONS + f64::from(self.observations))).max(MIN_OBSERVATION_WEIGHT);
        self.log_mean += weight * (log_ratio - self.log_mean);
    }

    /// Returns the speed; 1 is the mean.
    pub(crate) fn value(self) -> f64 {
        self.log_mean.exp()
    }
}

impl KindRatio {
    /// Minimum weight of one observation; lower than that of a speed, because kinds change slowly
    /// and executors quickly.
    const MIN_OBSERVATION_WEIGHT: f64 = 0.01;

    /// Adds an observation: the logarithm of actual over declared run time at speed 1.
    pub(crate) fn observe(&mut self, log_ratio: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight = (1.0 / (PRIOR_OBSERVATIONS + f64::from(self.observations)))
            .max(Self::MIN_OBSERVATION_WEIGHT);
        self.log_mean += weight * (log_ratio - self.log_mean);
    }

    /// Returns the ratio of actual to declared run time at speed 1.
    pub(crate) fn value(self) -> f64 {
        self.log_mean.exp()
    }
}
