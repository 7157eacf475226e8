types::plain! {
    /// Health of an upstream as judged on outcomes.
    #[derive(Copy)]
    pub enum HealthWeight {
        /// It takes work as if its speed were multiplied by this weight, above 0 and up to 1.
        Weight(f64),
        /// It takes no work.
        Ejected,
    }
}

impl Default for HealthWeight {
    fn default() -> Self {
        Self::Weight(1.0)
    }
}
