use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The wall clock and the monotonic clock of the process.  Wall time is read once and advanced by
/// the monotonic clock, so that it never steps back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    wall_ms: u64,
}

impl Clock {
    pub(crate) fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), wall_ms: wall.as_millis() as u64 }
    }

    /// Returns the wall time in Unix milliseconds.
    pub(crate) fn now_ms(self) -> u64 {
        self.wall_ms + self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the microseconds since the clock was started.
    pub(crate) fn now_us(self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }
}
