use types::{Digest, JobId, KindName, Payload, ServiceName, TeamName};

types::wire! {
    /// A submitted job that an entry forwards to the owner of the job's partition.
    pub struct ForwardedJob {
        /// Identifier of the job.
        pub id: JobId,
        /// Team of the caller.
        pub team: TeamName,
        /// Service that the caller requests.
        pub service: ServiceName,
        /// Kind of request.
        pub kind: KindName,
        /// Time left until the deadline, in milliseconds.
        pub timeout_ms: u64,
        /// Digest of service, kind and tasks.
        pub digest: Digest,
        /// Payloads of the tasks, in the order of their indexes.
        pub tasks: Vec<Payload>,
        /// Whether the reply is sent with the outcome; otherwise it is sent on acceptance.
        pub wait: bool,
        /// W3C trace context, if the job is traced.
        pub traceparent: Option<String>,
    }

    /// A request for the state of a job or for its cancellation.
    pub struct JobQuery {
        /// Identifier of the job.
        pub id: JobId,
        /// Team of the caller.
        pub team: TeamName,
        /// Longest time to wait for the outcome, in milliseconds.
        pub wait_ms: u64,
    }
}
