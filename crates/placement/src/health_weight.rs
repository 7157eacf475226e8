types::plain! {
    /// Effect of an upstream's health on placement, derived from the outcomes of its tasks.
    #[derive(Copy)]
    pub enum HealthWeight {
        /// The upstream is used as if its speed were multiplied by this weight, above 0 and up
        /// to 1.
        Weight(f64),
        /// The upstream is sent no tasks.
        Ejected,
    }
}

impl Default for HealthWeight {
    fn default() -> Self {
        Self::Weight(1.0)
    }
}
