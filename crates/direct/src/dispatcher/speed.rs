/// Weight of one observation. Source: a change of speed is to show within some ten tasks.
const WEIGHT: f64 = 0.12;
/// Observations that count as the prior speed of 1.
const PRIOR: f64 = 3.0;

types::plain! {
    /// Learned speed of an upstream, relative to the mean of its pool.
    #[derive(Copy, Default)]
    pub(crate) struct Speed {
        log: f64,
        seen: u32,
    }

    /// Learned ratio of run times to declared ones, for one kind of job.
    #[derive(Copy, Default)]
    pub(crate) struct KindRatio {
        log: f64,
        seen: u32,
    }
}

impl Speed {
    /// Takes the logarithm of expected over actual run time.
    pub(crate) fn observe(&mut self, log_ratio: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / (PRIOR + f64::from(self.seen))).max(WEIGHT);
        self.log += weight * (log_ratio - self.log);
    }

    /// Returns the speed; 1 is the mean.
    pub(crate) fn value(self) -> f64 {
        self.log.exp()
    }
}

impl KindRatio {
    /// Weight of one observation of a kind. Source: kinds change slowly, executors quickly.
    const WEIGHT: f64 = 0.01;

    pub(crate) fn observe(&mut self, log_ratio: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / (PRIOR + f64::from(self.seen))).max(Self::WEIGHT);
        self.log += weight * (log_ratio - self.log);
    }

    /// Returns actual over declared run time at speed 1.
    pub(crate) fn value(self) -> f64 {
        self.log.exp()
    }
}
