use types::TeamName;

types::settings! {
    /// Cancellation of jobs in progress at one instant.
    pub struct CancelWave {
        /// The team whose jobs are cancelled.
        pub team: TeamName,
        /// Seconds from the start of the run.
        pub at_s: f64,
        /// Percentage of the team's jobs in progress that is cancelled.
        pub percent: f64,
    }
}
