use std::time::Duration;

const SHORTEST: Duration = Duration::from_secs(5);
/// Width of the range of the jitter, as a part of the period.
const JITTER_RANGE: f64 = 0.2;

/// Time between the renewals of an agent's announcement at an entry.  It is 5 s after a change,
/// since the lists of entries may still differ then, and doubles up to 120 s while nothing changes.
#[derive(Clone, Copy, Debug)]
pub struct RenewalPeriod {
    period: Duration,
}

impl Default for RenewalPeriod {
    fn default() -> Self {
        Self { period: SHORTEST }
    }
}

impl RenewalPeriod {
    /// Longest period.
    pub const LONGEST: Duration = Duration::from_secs(120);

    /// Returns the time to the next renewal, which is within ten percent of the period.  `jitter`
    /// is a random number, distributed evenly from 0 to 1.
    pub fn after_renewal(&mut self, jitter: f64) -> Duration {
        let period = self.period;
        self.period = (period * 2).min(Self::LONGEST);
        period.mul_f64(1.0 + JITTER_RANGE * (jitter - 0.5))
    }

    /// Resets the period to the shortest, after a change.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
