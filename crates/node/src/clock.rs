use std::{
    cell::Cell,
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// Returns milliseconds on a steady clock that counts the time of a suspension.
pub(crate) fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec * 1_000 + i64::from(u32::try_from(time.tv_nsec).unwrap_or(0)) / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}

/// Returns Unix milliseconds by the time of day, which may step.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Notices that the process has been suspended, by a jump of the clock between two looks.
#[derive(Debug)]
pub(crate) struct SuspensionWatch {
    last_ms: Cell<u64>,
    least_gap_ms: u64,
}

impl SuspensionWatch {
    pub(crate) fn new(least_gap_ms: u64) -> Self {
        Self { last_ms: Cell::new(now_ms()), least_gap_ms }
    }

    /// Returns the time, and the length of a suspension that has just ended, milliseconds.
    pub(crate) fn look(&self) -> (u64, Option<u64>) {
        let now_ms = now_ms();
        let gap_ms = now_ms.saturating_sub(self.last_ms.replace(now_ms));
        (now_ms, Some(gap_ms).filter(|gap_ms| *gap_ms >= self.least_gap_ms))
    }

    /// Returns the time of the last look.
    pub(crate) fn last_ms(&self) -> u64 {
        self.last_ms.get()
    }
}
