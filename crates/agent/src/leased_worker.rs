//! A worker whose tasks run under leases that the agent renews.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use ports::{LeaseId, LeaseStart, Worker, WorkerError};
use rpc::{NotStarted, TaskResult, TaskStart};
use tokio::time::{Duration, Instant, timeout_at};
use types::{AttemptKey, Digest};

use crate::{lease_hold::LeaseHold, run_end::RunEnd};

/// Starts tasks on a worker under leases of one length.
#[derive(Clone)]
pub(crate) struct LeasedWorker {
    worker: Arc<dyn Worker>,
    lease: Duration,
}

impl LeasedWorker {
    pub(crate) fn new(worker: Arc<dyn Worker>, lease: Duration) -> Self {
        Self { worker, lease }
    }

    /// Runs a task under a lease until it ends, the lease lapses or the deadline passes.
    /// Dropping the run stops the task.
    pub(crate) async fn run(
        &self,
        start: TaskStart,
        deadline: Instant,
        traceparent: Option<String>,
    ) -> RunEnd {
        let hold = LeaseHold::new(Arc::clone(&self.worker), lease_id(start.key), self.lease);
        let req = LeaseStart {
            lease: hold.id(),
            lease_ms: self.lease.as_millis() as u64,
            key: start.key,
            service: start.service,
            kind: start.kind,
            payload: start.payload,
            resources: start.resources,
            checkpoint: None,
            traceparent,
        };
        match timeout_at(hold.lapses_at(), self.worker.start(req)).await {
            Ok(Err(WorkerError::Refused(e))) => {
                hold.release();
                TaskResult::NotStarted(NotStarted::Executor(e.to_string())).into()
            }
            Ok(Ok(()) | Err(_)) | Err(_) => hold.wait(deadline).await,
        }
    }
}

/// Returns the lease of an attempt; it is the same for every repetition of its start.
fn lease_id(key: AttemptKey) -> LeaseId {
    let digest = Digest::of_parts([
        &key.task.job.as_bytes()[..],
        &key.task.index.0.to_be_bytes()[..],
        &key.attempt.0.to_be_bytes()[..],
    ]);
    let mut id = [0; size_of::<u64>()];
    id.copy_from_slice(&digest.as_bytes()[..size_of::<u64>()]);
    LeaseId(u64::from_be_bytes(id))
}
