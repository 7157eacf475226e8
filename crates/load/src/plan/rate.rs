types::settings! {
    /// Mean rate of a stream of jobs.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Rate {
        /// Jobs a second.
        JobsPerS(f64),
        /// Work as a fraction of the capacity of the service; 0.8 is 80% load.
        OfCapacity(f64),
    }
}

impl Rate {
    pub(crate) fn amount(self) -> f64 {
        match self {
            Self::JobsPerS(amount) | Self::OfCapacity(amount) => amount,
        }
    }

    /// Returns the rate in jobs a second, given the capacity and the mean work of a job in seconds
    /// of nominal run time.
    pub(crate) fn jobs_per_s(self, work_per_s: f64, work_per_job_s: f64) -> f64 {
        match self {
            Self::JobsPerS(jobs) => jobs,
            Self::OfCapacity(part) => part * work_per_s / work_per_job_s,
        }
    }
}
