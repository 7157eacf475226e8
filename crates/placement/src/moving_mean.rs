/// Mean that starts from a prior and discounts old observations exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingMean {
    value: f64,
    /// Number of observations that the value counts as, the prior included.
    weight: f64,
    max_weight: f64,
}

impl MovingMean {
    /// Creates a mean from a prior that counts as `prior_weight` observations.  The value
    /// counts as at most `max_weight` observations, so that new ones keep their influence.
    pub(crate) fn new(prior: f64, prior_weight: f64, max_weight: f64) -> Self {
        Self { value: prior, weight: prior_weight, max_weight }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    pub(crate) fn observe(&mut self, value: f64) {
        self.weight = (self.weight + 1.0).min(self.max_weight);
        self.value += (value - self.value) / self.weight;
    }

    /// Multiplies the value and the number of observations that it counts as by a factor from
    /// 0 to 1.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.value *= factor;
        self.weight *= factor;
    }
}
