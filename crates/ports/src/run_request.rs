use types::{AttemptKey, KindName, Payload, ServiceName};

types::plain! {
    /// A request to an executor to run one task.
    pub struct RunRequest {
        /// The attempt, for the executor's records.
        pub key: AttemptKey,
        /// The service.
        pub service: ServiceName,
        /// The kind of request.
        pub kind: KindName,
        /// The caller's JSON document.
        pub payload: Payload,
        /// Remaining time in milliseconds until the executor must have answered.
        pub timeout_ms: u64,
        /// W3C trace context, when the request is traced.
        pub traceparent: Option<String>,
    }
}
