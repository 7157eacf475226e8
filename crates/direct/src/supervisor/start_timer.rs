//! When an unanswered start is sent again.
//!
//! Load pattern: some calls to an upstream get no answer while a burst needs the whole capacity. A
//! start that waits for the full timeout of a call misses the objective of its job, and the siblings
//! of its task wait with it. Starts are idempotent and answered within milliseconds, so one is sent
//! again as soon as its answer is overdue by the answers of the others.

/// Share of one observation in the mean and in the mean deviation, as in TCP's retransmission timer.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of mean deviations beyond the mean after which an answer is overdue.
const DEVIATIONS: f64 = 4.0;
/// Minimum time after which an answer is overdue, milliseconds: the timers of a host that shares
/// its processor are late by this order of magnitude.
const MIN_OVERDUE_MS: u64 = 12;

types::plain! {
    /// Learned time until an answer to a start is overdue.
    #[derive(Copy)]
    pub(crate) struct StartTimer {
        mean_ms: f64,
        deviation_ms: f64,
    }
}

impl Default for StartTimer {
    fn default() -> Self {
        Self { mean_ms: 4.0, deviation_ms: 4.0 }
    }
}

impl StartTimer {
    /// Records the time that the answer to a start took.
    pub(crate) fn observe(&mut self, took_ms: u64) {
        let took_ms = f64::from(u32::try_from(took_ms).unwrap_or(u32::MAX));
        let error_ms = took_ms - self.mean_ms;
        self.mean_ms += MEAN_WEIGHT * error_ms;
        self.deviation_ms += DEVIATION_WEIGHT * (error_ms.abs() - self.deviation_ms);
    }

    /// Returns the time after which the answer to a start is overdue, milliseconds.
    pub(crate) fn overdue_ms(&self, call_ms: u64) -> u64 {
        let expected_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let overdue_ms = expected_ms.ceil() as u64;
        overdue_ms.max(MIN_OVERDUE_MS).min(call_ms)
    }
}
