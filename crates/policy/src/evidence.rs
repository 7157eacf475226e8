const MIN_RATE: f64 = 0.01;
const MAX_RATE: f64 = 0.95;

/// Evidence that an upstream is worse than the others: the cumulative sum (CUSUM) of the
/// log-likelihood ratios of its outcomes.  The ratio compares a faulty upstream, which
/// succeeds half as often as the others, with a healthy one, which fails as often
/// as the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Evidence(f64);

impl Evidence {
    /// Evidence at which a healthy upstream is ejected.
    pub(crate) const EJECTION_THRESHOLD: Self = Self(18.0);
    /// Evidence at which an upstream in probation is ejected.
    pub(crate) const PROBATION_EJECTION_THRESHOLD: Self = Self(6.0);
    /// Most evidence that the tasks of one job add while none has succeeded elsewhere.
    pub(crate) const MAX_PER_JOB: Self = Self(3.7);

    /// Returns the evidence of one bad outcome where the other upstreams fail at `rate`.
    pub(crate) fn of_bad_outcome(rate: f64) -> Self {
        let rate = rate.clamp(MIN_RATE, MAX_RATE);
        Self(((1.0 + rate) / (2.0 * rate)).ln())
    }

    pub(crate) fn add(&mut self, evidence: Self) {
        self.0 += evidence.0;
    }

    /// Subtracts the evidence of one good outcome; the sum does not fall below 0.
    pub(crate) fn subtract_good_outcome(&mut self) {
        self.0 = (self.0 - std::f64::consts::LN_2).max(0.0);
    }

    /// Returns this evidence multiplied by `count`.
    pub(crate) fn times(self, count: u32) -> Self {
        Self(self.0 * f64::from(count))
    }

    /// Returns by how much this evidence exceeds another, or `None` if it does not.
    pub(crate) fn excess_over(self, other: Self) -> Option<Self> {
        (self > other).then_some(Self(self.0 - other.0))
    }

    /// Returns the smaller of this evidence and what `used` leaves of `limit`.
    pub(crate) fn limited(self, limit: Self, used: Self) -> Self {
        Self(self.0.min((limit.0 - used.0).max(0.0)))
    }

    /// Returns this evidence as a fraction of a threshold, at least 0.
    pub(crate) fn ratio_to(self, threshold: Self) -> f64 {
        self.0 / threshold.0
    }
}
