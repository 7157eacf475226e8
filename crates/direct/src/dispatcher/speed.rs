/// Minimum weight of one observation, so that a change of speed shows within about ten tasks.
const MIN_OBSERVATION_WEIGHT: f64 = 0.12;
/// Number of observations that the prior value of 1 counts for.
const PRIOR_OBSERVATIONS: f64 = 3.0;
/// Bound of the logarithm of one observed ratio: a factor of 8. From a factor of about 5.7 on, a
/// job with an estimate of 200 ms is refused, so a larger factor would change no decision and
/// would only take longer to correct.
const MAX_LOG_RATIO: f64 = 2.08;
/// Logarithm of a learned ratio from which the kind's estimates count as unreliable: a factor of
/// 2.8.
const UNRELIABLE_LOG_RATIO: f64 = MAX_LOG_RATIO / 2.0;
/// Time without an observation after which learned run times begin to decay, milliseconds; longer
/// than the gaps in regular traffic.
const DECAY_DELAY_MS: u64 = 2_000;
/// Time in which learned run times then halve, milliseconds.
const HALVING_MS: f64 = 4_000.0;
/// Weight of the observation of a probe: two of them bring the largest ratio below 1.7.
const PROBE_WEIGHT: f64 = 0.5;

types::plain! {
    /// Learned speed of an upstream, relative to the mean of its pool; a weighted geometric mean.
    #[derive(Copy, Default)]
    pub(crate) struct Speed {
        log_mean: f64,
        observations: u32,
    }

    /// Learned ratio of actual to declared run times, for one kind of job. It decays to 1 while the
    /// kind is not observed.
    #[derive(Copy, Default)]
    pub(crate) struct KindRatio {
        log_mean: f64,
        observations: f64,
        observed_ms: u64,
    }

    /// Learned run time at speed 1 of the tasks of a kind that have no estimate. It decays to 0,
    /// which stands for unknown, while no such task is observed.
    #[derive(Copy, Default)]
    pub(crate) struct UnestimatedRunTime {
        log_mean: f64,
        observations: f64,
        observed_ms: u64,
    }
}

impl Speed {
    /// Adds an observation: the logarithm of expected over actual run time.
    pub(crate) fn observe(&mut self, log_ratio: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight =
            (1.0 / (PRIOR_OBSERVATIONS + f64::from(self.observations))).max(MIN_OBSERVATION_WEIGHT);
        self.add(log_ratio, weight);
    }

    /// Adds the observation of a probe.
    pub(crate) fn observe_probe(&mut self, log_ratio: f64) {
        self.add(log_ratio, PROBE_WEIGHT);
    }

    fn add(&mut self, log_ratio: f64, weight: f64) {
        self.log_mean += weight * (bounded(log_ratio) - self.log_mean);
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
    pub(crate) fn observe(&mut self, log_ratio: f64, now_ms: u64) {
        self.decay(now_ms);
        self.observations += 1.0;
        let weight =
            (1.0 / (PRIOR_OBSERVATIONS + self.observations)).max(Self::MIN_OBSERVATION_WEIGHT);
        self.log_mean += weight * (bounded(log_ratio) - self.log_mean);
    }

    /// Adds the observation of a probe. Earlier observations count for little from then on.
    pub(crate) fn observe_probe(&mut self, log_ratio: f64, now_ms: u64) {
        self.decay(now_ms);
        self.observations = 1.0;
        self.log_mean += PROBE_WEIGHT * (bounded(log_ratio) - self.log_mean);
    }

    /// Returns the ratio of actual to declared run time at speed 1.
    pub(crate) fn value(self, now_ms: u64) -> f64 {
        (self.log_mean * remaining_share(self.observed_ms, now_ms)).exp()
    }

    /// Returns whether the learned ratio is so far from 1 that the kind's estimates, rather than
    /// the speed of an upstream, explain a run time outside the bound.
    pub(crate) fn is_unreliable(self) -> bool {
        self.log_mean.abs() > UNRELIABLE_LOG_RATIO
    }

    fn decay(&mut self, now_ms: u64) {
        let share = remaining_share(self.observed_ms, now_ms);
        self.log_mean *= share;
        self.observations *= share;
        self.observed_ms = now_ms;
    }
}

impl UnestimatedRunTime {
    /// Adds an observation: the run time at speed 1, milliseconds.
    pub(crate) fn observe(&mut self, run_ms: f64, now_ms: u64) {
        self.observations *= remaining_share(self.observed_ms, now_ms);
        self.observations += 1.0;
        self.observed_ms = now_ms;
        // The first observation counts in full: there is no prior run time.
        let weight = (1.0 / self.observations).clamp(KindRatio::MIN_OBSERVATION_WEIGHT, 1.0);
        self.log_mean += weight * (run_ms.max(1.0).ln() - self.log_mean);
    }

    /// Returns the run time at speed 1, milliseconds; 0 if it is unknown.
    pub(crate) fn value_ms(self, now_ms: u64) -> u32 {
        if self.observations == 0.0 {
            return 0;
        }
        let mean_ms = self.log_mean.exp() * remaining_share(self.observed_ms, now_ms);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rounded_ms = mean_ms.round() as u32;
        rounded_ms
    }
}

/// Returns whether an observed ratio is outside the bound.
pub(crate) fn is_out_of_bound(log_ratio: f64) -> bool {
    log_ratio.abs() > MAX_LOG_RATIO
}

fn bounded(log_ratio: f64) -> f64 {
    log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}

/// Returns the share of a learned value that is left at this time without further observations.
fn remaining_share(observed_ms: u64, now_ms: u64) -> f64 {
    let idle_ms = now_ms.saturating_sub(observed_ms.saturating_add(DECAY_DELAY_MS));
    #[allow(clippy::cast_precision_loss)]
    let halvings = idle_ms as f64 / HALVING_MS;
    0.5_f64.powf(halvings)
}
