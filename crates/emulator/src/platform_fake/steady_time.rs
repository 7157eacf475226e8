//! Instants as nanoseconds of the system's monotonic clock, which is the same for all processes of a
//! machine.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest time between two readings of the clock that count as the same.
const PRECISION: Duration = Duration::from_micros(50);

/// An instant, and the time on the clock then.
static ORIGIN: LazyLock<(Instant, Duration)> = LazyLock::new(|| {
    loop {
        let instant = Instant::now();
        let now = clock_gettime(ClockId::Monotonic);
        if instant.elapsed() < PRECISION {
            let now = Duration::try_from(now).expect("the clock does not show a time before 0");
            return (instant, now);
        }
    }
});

pub(super) fn serialize<S: Serializer>(at: &Instant, serializer: S) -> Result<S::Ok, S::Error> {
    let (instant, time) = *ORIGIN;
    let time = match at.checked_duration_since(instant) {
        Some(after) => time + after,
        None => time.saturating_sub(instant - *at),
    };
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX).serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Instant, D::Error> {
    let (instant, time) = *ORIGIN;
    let at = Duration::from_nanos(u64::deserialize(deserializer)?);
    Ok(match at.checked_sub(time) {
        Some(after) => instant + after,
        None => instant.checked_sub(time - at).unwrap_or(instant),
    })
}

/// The same for instants that may be missing.
pub(super) mod optional {
    use std::time::Instant;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    struct At(#[serde(with = "super")] Instant);

    pub(in super::super) fn serialize<S: Serializer>(
        at: &Option<Instant>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        at.map(At).serialize(serializer)
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Instant>, D::Error> {
        Ok(Option::<At>::deserialize(deserializer)?.map(|At(at)| at))
    }
}
