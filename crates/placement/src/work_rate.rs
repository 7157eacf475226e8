/// Time constant of the moving average in microseconds.
const TIME_CONSTANT_US: f64 = 10_000_000.0;

/// Moving average of the dispatched work, as the number of slots of speed 1 that it occupies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkRate {
    slots: f64,
    last_observed_us: u64,
}

impl WorkRate {
    /// Adds a task that runs for `work_us` microseconds at speed 1.
    pub(crate) fn observe(&mut self, now_us: u64, work_us: f64) {
        self.slots = self.slots(now_us) + work_us / TIME_CONSTANT_US;
        self.last_observed_us = now_us;
    }

    /// Returns the number of slots of speed 1 that the work occupies.
    pub(crate) fn slots(&self, now_us: u64) -> f64 {
        let idle_us = now_us.saturating_sub(self.last_observed_us) as f64;
        self.slots * (-idle_us / TIME_CONSTANT_US).exp()
    }
}
