use types::{AttemptKey, KindName, Payload, Resources, ServiceName};

use crate::{Checkpoint, LeaseId};

types::wire! {
    /// A request to a worker to start one task under a lease.
    pub struct LeaseStart {
        /// The lease; a worker starts it once, even when the request is repeated.
        pub lease: LeaseId,
        /// Time in milliseconds after which the lease lapses unless it is renewed.
        pub lease_ms: u64,
        /// The attempt, for the worker's records.
        pub key: AttemptKey,
        /// The service.
        pub service: ServiceName,
        /// The kind of request.
        pub kind: KindName,
        /// The caller's JSON document.
        pub payload: Payload,
        /// Declared resources.
        pub resources: Resources,
        /// Progress of an earlier run from which the task continues.
        pub checkpoint: Option<Checkpoint>,
        /// W3C trace context, when the request is traced.
        pub traceparent: Option<String>,
    }
}
