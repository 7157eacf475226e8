const NEW_OUTCOME_WEIGHT: f64 = 1.0 / 8.0;

/// Fraction of recent outcomes that were bad, from 0 to 1: an exponential moving average
/// over outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    pub(crate) fn record(&mut self, is_bad: bool) {
        let outcome = f64::from(u8::from(is_bad));
        self.0 += (outcome - self.0) * NEW_OUTCOME_WEIGHT;
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}
