use std::time::Duration;

/// Span over which the first calls after a lost connection are spread.
const LOSS_SPREAD: Duration = Duration::from_secs(2);
/// Bound of the delay after the first failed call.
const MIN_BOUND: Duration = Duration::from_millis(100);
/// Largest bound.
const MAX_BOUND: Duration = Duration::from_secs(10);

/// Exponential backoff with jitter before an agent calls an entry again.
///
/// The first call after a connection was lost is spread evenly over two seconds, since all agents
/// lose an entry at the same moment and would otherwise reconnect at the same moment.  Each failed
/// call doubles the bound of the delay, from 100 ms to 10 s; a delay is between half of the bound
/// and the bound.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectBackoff {
    bound: Duration,
}

impl Default for ReconnectBackoff {
    fn default() -> Self {
        Self { bound: MIN_BOUND }
    }
}

impl ReconnectBackoff {
    /// Returns the delay after an open connection was lost.  `jitter` is a random number,
    /// distributed evenly from 0 to 1.
    pub fn after_loss(&mut self, jitter: f64) -> Duration {
        self.bound = LOSS_SPREAD;
        LOSS_SPREAD.mul_f64(jitter)
    }

    /// Returns the delay after a failed call.  `jitter` is a random number, distributed evenly
    /// from 0 to 1.
    pub fn after_failure(&mut self, jitter: f64) -> Duration {
        let delay = self.bound.mul_f64(0.5 + 0.5 * jitter);
        self.bound = (self.bound * 2).min(MAX_BOUND);
        delay
    }

    /// Resets the delays to the shortest, after a successful call.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
