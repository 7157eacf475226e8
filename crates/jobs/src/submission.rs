use rpc::ForwardedJob;
use services::{Acceptance, KindConfig};
use types::Payload;

use crate::JobTerms;

types::plain! {
    /// A submission as received by the owner of its partition.
    pub struct Submission {
        /// Terms of the job.
        pub terms: JobTerms,
        /// Payloads of the tasks, in order.
        pub payloads: Vec<Payload>,
        /// Whether the caller waits for the outcome. Otherwise it is answered once the job is
        /// accepted.
        pub wait: bool,
    }
}

impl Submission {
    /// Creates the submission of a job of `kind` that arrives at `now_ms`, in Unix
    /// milliseconds. A kind that is not idempotent has one attempt per task, and its acceptance
    /// record must be durable before the start.
    pub fn new(job: ForwardedJob, kind: &KindConfig, now_ms: u64) -> Self {
        let acceptance = if kind.idempotent { kind.acceptance } else { Acceptance::BeforeStart };
        let terms = JobTerms {
            id: job.id,
            team: job.team,
            service: job.service,
            kind: job.kind,
            digest: job.digest,
            tasks: job.tasks.len() as u32,
            idempotent: kind.idempotent,
            max_attempts: if kind.idempotent { kind.max_attempts.max(1) } else { 1 },
            acceptance,
            accepted_ms: now_ms,
            deadline_ms: now_ms.saturating_add(job.timeout_ms),
        };
        Self { terms, payloads: job.tasks, wait: job.wait }
    }

    pub(crate) fn payload_bytes(&self) -> usize {
        self.payloads.iter().map(Payload::len).sum()
    }
}
