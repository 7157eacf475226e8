use std::time::{SystemTime, UNIX_EPOCH};

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
