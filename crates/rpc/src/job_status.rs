use types::JobOutcome;

types::wire! {
    /// State of a job, reported by its owner.
    pub enum JobStatus {
        /// The job is accepted and has not finished.
        Accepted {
            /// Number of tasks of the job.
            tasks: u32,
            /// Number of tasks that have an answer.
            answered: u32,
        },
        /// The job has finished.
        Finished(JobOutcome),
    }
}
