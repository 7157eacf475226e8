use crate::decayed_sum::DecayedSum;

const TIME_CONSTANT_US: u64 = 5_000_000;
/// Weight of the expected capacity in the average, as microseconds of backlogged time.
const PRIOR_US: f64 = 200_000.0;
const MAX_RATIO_TO_EXPECTED: f64 = 2.0;
const MIN_SLOTS: f64 = 0.01;

/// Measured rate at which a pool completes work, in slots of speed 1: a moving average of
/// completed slot time over the time in which work was waiting.  Time without waiting work
/// is left out, because it does not show the capacity.
#[derive(Clone, Debug)]
pub struct DrainRate {
    work: DecayedSum,
    backlogged: DecayedSum,
    is_backlogged: bool,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            work: DecayedSum::new(TIME_CONSTANT_US),
            backlogged: DecayedSum::new(TIME_CONSTANT_US),
            is_backlogged: false,
        }
    }
}

impl DrainRate {
    /// Sets whether work waits for slots from now on, that is, whether a task could start
    /// if a slot were free.  Tasks that only wait for their team's quota do not count.
    pub fn set_backlogged(&mut self, is_backlogged: bool, now_us: u64) {
        if self.is_backlogged != is_backlogged {
            self.advance(now_us);
            self.is_backlogged = is_backlogged;
        }
    }

    /// Counts a finished task if work waits; `slot_us` is its slot time at speed 1 in
    /// microseconds.
    pub fn on_finished(&mut self, slot_us: u64, now_us: u64) {
        if self.is_backlogged {
            self.work.add(slot_us as f64, now_us);
        }
    }

    /// Returns the rate in slots.  With few measurements it is near `expected_slots`, and it
    /// is at most twice that.
    pub fn slots(&self, expected_slots: f64, now_us: u64) -> f64 {
        let mut measured = self.clone();
        measured.advance(now_us);
        let work_us = measured.work.value_at(now_us) + expected_slots * PRIOR_US;
        let time_us = measured.backlogged.value_at(now_us) + PRIOR_US;
        (work_us / time_us).min(expected_slots * MAX_RATIO_TO_EXPECTED).max(MIN_SLOTS)
    }

    fn advance(&mut self, now_us: u64) {
        if self.is_backlogged {
            self.backlogged.add_elapsed(now_us);
        }
    }
}
