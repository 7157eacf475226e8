use std::time::Duration;

use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(1);

/// A rate limit that counts calls in fixed periods of one second.
#[derive(Debug)]
pub(crate) struct CallWindow {
    period_start: Instant,
    used: u32,
}

impl CallWindow {
    pub(crate) fn new(now: Instant) -> Self {
        Self { period_start: now, used: 0 }
    }

    /// Counts a call and returns true, unless `limit` calls were counted in this period.
    pub(crate) fn try_acquire(&mut self, now: Instant, limit: u32) -> bool {
        if now.duration_since(self.period_start) >= PERIOD {
            *self = Self::new(now);
        }
        let is_allowed = self.used < limit;
        self.used += u32::from(is_allowed);
        is_allowed
    }
}
