use std::{
    cell::Cell,
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// Returns milliseconds on a monotonic clock that goes on while the machine is suspended.
pub(crate) fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec * 1_000 + i64::from(u32::try_from(time.tv_nsec).unwrap_or(0)) / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}

/// Returns Unix milliseconds of the wall clock, which may jump.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Detects that the process was suspended, by a jump of the clock between two checks.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    last_check_ms: Cell<u64>,
    min_gap_ms: u64,
}

impl SuspensionDetector {
    pub(crate) fn new(min_gap_ms: u64) -> Self {
        Self { last_check_ms: Cell::new(now_ms()), min_gap_ms }
    }

    /// Returns the time and, if a suspension has just ended, its length, both in milliseconds.
    pub(crate) fn check(&self) -> (u64, Option<u64>) {
        self.check_above(self.min_gap_ms)
    }

    /// Returns the same, and counts gaps from `min_gap_ms` on as suspensions.
    pub(crate) fn check_above(&self, min_gap_ms: u64) -> (u64, Option<u64>) {
        let now_ms = now_ms();
        let gap_ms = now_ms.saturating_sub(self.last_check_ms.replace(now_ms));
        (now_ms, Some(gap_ms).filter(|gap_ms| *gap_ms >= min_gap_ms))
    }

    /// Returns the time of the last check, milliseconds.
    pub(crate) fn last_check_ms(&self) -> u64 {
        self.last_check_ms.get()
    }
}
