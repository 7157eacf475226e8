use services::Acceptance;
use types::{Digest, JobId, KindName, ServiceName, TeamName};

types::wire! {
    /// Terms under which a job was accepted.
    #[derive(Eq)]
    pub struct JobTerms {
        /// Identifier of the job.
        pub id: JobId,
        /// Team of the caller.
        pub team: TeamName,
        /// Service that runs the job.
        pub service: ServiceName,
        /// Kind of job within the service.
        pub kind: KindName,
        /// Digest of service, kind and task payloads.
        pub digest: Digest,
        /// Number of tasks.
        pub tasks: u32,
        /// Whether an attempt that ended in failure may be followed by another.
        pub idempotent: bool,
        /// Largest number of starts of one task.
        pub max_attempts: u16,
        /// When the acceptance record must be durable.
        pub acceptance: Acceptance,
        /// Wall clock of the owner at acceptance in Unix milliseconds.
        pub accepted_ms: u64,
        /// Deadline on the wall clock of the owner in Unix milliseconds.
        pub deadline_ms: u64,
    }
}
