types::settings! {
    /// Distribution of the arrivals of a stream over time.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Arrivals {
        /// Independent arrivals (a Poisson process).
        #[default]
        Poisson,
        /// Arrivals at even intervals.
        Even,
        /// Groups of this many jobs at one instant; the groups arrive independently.
        Bursts(u32),
    }
}

impl Arrivals {
    /// Returns the number of jobs that arrive at one instant.
    pub(crate) fn group(self) -> u32 {
        match self {
            Self::Poisson | Self::Even => 1,
            Self::Bursts(jobs) => jobs,
        }
    }
}
