use std::time::Duration;

use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(1);

/// Counts calls in periods of one second.
#[derive(Debug)]
pub(crate) struct CallWindow {
    period_start: Instant,
    spent: u32,
}

impl CallWindow {
    pub(crate) fn new(now: Instant) -> Self {
        Self { period_start: now, spent: 0 }
    }

    /// Spends one call, unless `limit` were spent in this period.
    pub(crate) fn spend(&mut self, now: Instant, limit: u32) -> bool {
        if now.duration_since(self.period_start) >= PERIOD {
            *self = Self::new(now);
        }
        let is_within = self.spent < limit;
        self.spent += u32::from(is_within);
        is_within
    }
}
