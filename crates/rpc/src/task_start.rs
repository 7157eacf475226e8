use types::{
    AttemptKey, Epoch, Incarnation, KindName, Partition, Payload, Resources, ServiceName, TeamName,
    Urgency,
};

use crate::EntryIdentity;

types::wire! {
    /// Request by the owner of a job to run one attempt at a task.  A repeated request with the
    /// same key waits for the result of the first and starts nothing.
    pub struct TaskStart {
        /// The attempt.
        pub key: AttemptKey,
        /// Partition of the job.
        pub partition: Partition,
        /// Epoch of the owner.
        pub epoch: Epoch,
        /// The owner.
        pub entry: EntryIdentity,
        /// Incarnation of the agent for which the request is meant; any other refuses it.
        pub agent: Incarnation,
        /// Team of the caller.
        pub team: TeamName,
        /// Service that the caller requests.
        pub service: ServiceName,
        /// Kind of request.
        pub kind: KindName,
        /// Urgency class.
        pub urgency: Urgency,
        /// Weight of the team in the fair sharing of capacity.
        pub weight: u32,
        /// Resources that are charged to the attempt while it runs.
        pub resources: Resources,
        /// Expected run time on this upstream, in microseconds.
        pub expected_us: u64,
        /// Time left until the deadline, in milliseconds.
        pub timeout_ms: u64,
        /// Whether the attempt uses one of the slots that are offered to the entry.
        pub uses_offer: bool,
        /// The caller's JSON document.
        pub payload: Payload,
        /// W3C trace context of the dispatch span, if the job is traced.
        pub traceparent: Option<String>,
    }
}
