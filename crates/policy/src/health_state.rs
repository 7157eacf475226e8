use std::fmt;

types::plain! {
    /// Health state of an upstream, which decides what work it may be given.
    #[derive(Copy, Eq, Hash)]
    pub enum HealthState {
        /// Receives work by its weight.
        Healthy,
        /// Receives a growing part of its usual work; tasks that cannot be retried should go
        /// elsewhere.
        Probation,
        /// Receives no work.
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
