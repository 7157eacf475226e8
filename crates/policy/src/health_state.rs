use std::fmt;

types::plain! {
    /// What may be placed on an upstream.
    #[derive(Copy, Eq, Hash)]
    pub enum HealthState {
        /// Work, by weight.
        Healthy,
        /// A growing part of its work; work that cannot be retried belongs elsewhere.
        Probation,
        /// Nothing.
        Ejected,
    }
}

impl fmt::Display for HealthState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::Probation => "probation",
            Self::Ejected => "ejected",
        })
    }
}
