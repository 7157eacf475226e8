/// A sum whose terms decay exponentially with age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedSum {
    time_constant_us: f64,
    sum: f64,
    updated_us: u64,
}

impl DecayedSum {
    pub(crate) fn new(time_constant_us: u64) -> Self {
        Self { time_constant_us: time_constant_us as f64, sum: 0.0, updated_us: 0 }
    }

    pub(crate) fn add(&mut self, term: f64, now_us: u64) {
        self.sum = self.value_at(now_us) + term;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Adds the time since the last update in microseconds, each moment decayed by its own
    /// age.
    pub(crate) fn add_elapsed(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        let decayed_us = -(-elapsed_us / self.time_constant_us).exp_m1() * self.time_constant_us;
        self.add(decayed_us, now_us);
    }

    pub(crate) fn value_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.sum * (-age_us / self.time_constant_us).exp()
    }

    /// Returns the mean rate of the terms per microsecond.
    pub(crate) fn rate(&self, now_us: u64) -> f64 {
        self.value_at(now_us) / self.time_constant_us
    }
}
