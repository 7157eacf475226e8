use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

const BASE_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_secs(2);
const MAX_DOUBLINGS: u32 = 16;

/// Exponential back-off with jitter: each delay is between half and all of a bound that
/// doubles from 20 ms to 2 s.
#[derive(Debug)]
pub(crate) struct Backoff {
    failures: u32,
    rng: StdRng,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Self {
        Self { failures: 0, rng: StdRng::seed_from_u64(seed) }
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(crate) async fn wait(&mut self) {
        let delay = self.next_delay();
        sleep(delay).await;
    }

    fn next_delay(&mut self) -> Duration {
        let bound = (BASE_DELAY * (1 << self.failures.min(MAX_DOUBLINGS))).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
