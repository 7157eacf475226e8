//! When the callers of refused jobs are told to return.
//!
//! Load pattern: overload for some seconds. Callers that are all told the same time return in one
//! wave and are refused again. Here each refused job takes the next place in the work that the
//! entry completes in the seconds to come, so that callers return at the rate at which they can be
//! served: in the order of their refusals, and more urgent ones before less urgent ones. Jobs that
//! wait at the time of a refusal take no place: they start or are refused before the first caller
//! returns.

use std::collections::BTreeMap;

/// Length of the periods over which the rate of completed work is measured, milliseconds.
const PERIOD_MS: u64 = 250;
/// Share of the latest period in the rate.
const PERIOD_WEIGHT: f64 = 0.3;
/// Limits of the time until a caller returns, milliseconds. The platform states it in seconds.
const MIN_RETURN_MS: u64 = 1_000;
const MAX_RETURN_MS: u64 = 30_000;

types::plain! {
    /// Places of refused jobs in the work that will be completed. Work is in milli-core
    /// milliseconds.
    #[derive(Default)]
    pub(crate) struct ReturnSchedule {
        /// Work completed per millisecond; 0 while it is unknown.
        rate: f64,
        completed: f64,
        period_start_ms: u64,
        /// Time up to which returning callers of this urgency and more urgent ones use the
        /// capacity, milliseconds.
        taken_until_ms: BTreeMap<u8, f64>,
    }
}

impl ReturnSchedule {
    /// Records work that has been completed.
    pub(crate) fn record(&mut self, work: f64, now_ms: u64) {
        self.completed += work;
        let elapsed_ms = now_ms.saturating_sub(self.period_start_ms);
        if elapsed_ms < PERIOD_MS {
            return;
        }
        let latest = self.completed / ms(elapsed_ms);
        self.rate = if self.rate == 0.0 {
            latest
        } else {
            self.rate + PERIOD_WEIGHT * (latest - self.rate)
        };
        self.completed = 0.0;
        self.period_start_ms = now_ms;
    }

    /// Returns the time after which the caller of a refused job should return, milliseconds.
    pub(crate) fn place(&mut self, priority: u8, work: f64, now_ms: u64) -> u64 {
        if self.rate <= 0.0 {
            return MIN_RETURN_MS;
        }
        let ahead = self.taken_until_ms.range(..=priority).map(|(_, until_ms)| *until_ms);
        let earliest_ms = ms(now_ms + MIN_RETURN_MS);
        let start_ms = ahead.fold(earliest_ms, f64::max);
        let end_ms = start_ms + work / self.rate;
        self.taken_until_ms.insert(priority, end_ms);
        for until_ms in self.taken_until_ms.range_mut(priority..).map(|(_, until_ms)| until_ms) {
            *until_ms = until_ms.max(end_ms);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let after_ms = (start_ms - ms(now_ms)).round() as u64;
        after_ms.min(MAX_RETURN_MS)
    }
}

#[allow(clippy::cast_precision_loss)]
fn ms(value: u64) -> f64 {
    value as f64
}
