use crate::decayed_sum::DecayedSum;

const USAGE_TIME_CONSTANT_US: u64 = 5_000_000;

/// Weight and recent load of one team, as recorded by admission.
#[derive(Debug)]
pub(crate) struct TeamLoad {
    pub(crate) weight: u32,
    pub(crate) usage: DecayedSum,
    refused_backlog_us: f64,
    refused_at_us: u64,
}

impl Default for TeamLoad {
    fn default() -> Self {
        let usage = DecayedSum::new(USAGE_TIME_CONSTANT_US);
        Self { weight: 1, usage, refused_backlog_us: 0.0, refused_at_us: 0 }
    }
}

impl TeamLoad {
    /// Adds refused work to the backlog of refused work, which is expected to be retried and
    /// drains at `slots`.  Returns the microseconds until the work refused earlier is done.
    pub(crate) fn add_refusal(&mut self, cost_us: u64, slots: f64, now_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.refused_at_us) as f64;
        let waiting_us = (self.refused_backlog_us - elapsed_us * slots).max(0.0);
        self.refused_backlog_us = waiting_us + cost_us as f64;
        self.refused_at_us = now_us;
        waiting_us / slots
    }
}
