use std::time::{Duration, Instant};

/// Counts calls and refuses those beyond a rate.
#[derive(Debug)]
pub(crate) struct CallRate {
    per_second: u32,
    window: Instant,
    in_window: u32,
    pub(crate) total: u64,
}

impl CallRate {
    pub(crate) fn new(per_second: u32) -> Self {
        Self { per_second, window: Instant::now(), in_window: 0, total: 0 }
    }

    /// Counts a call; returns whether it is within the rate.
    pub(crate) fn take(&mut self) -> bool {
        self.total += 1;
        if self.window.elapsed() >= Duration::from_secs(1) {
            self.window = Instant::now();
            self.in_window = 0;
        }
        self.in_window += 1;
        self.in_window <= self.per_second
    }
}
