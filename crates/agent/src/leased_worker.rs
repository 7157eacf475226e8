//! Runs tasks on a worker under leases that the agent renews.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use ports::{LeaseId, LeaseStart, Worker, WorkerError};
use rpc::{NotStarted, TaskResult, TaskStart};
use tokio::time::{Duration, Instant, timeout_at};
use types::{AttemptKey, Digest};

use crate::{lease_guard::LeaseGuard, run_outcome::RunOutcome};

/// A worker on which each task runs under a lease of the same length.
#[derive(Clone)]
pub(crate) struct LeasedWorker {
    worker: Arc<dyn Worker>,
    lease_length: Duration,
}

impl LeasedWorker {
    pub(crate) fn new(worker: Arc<dyn Worker>, lease_length: Duration) -> Self {
        Self { worker, lease_length }
    }

    /// Runs a task under a lease until it ends, the lease lapses or the deadline passes.
    /// Dropping the future stops the task.
    pub(crate) async fn run(
        &self,
        start: TaskStart,
        deadline: Instant,
        traceparent: Option<String>,
    ) -> RunOutcome {
        let guard =
            LeaseGuard::new(Arc::clone(&self.worker), lease_id(start.key), self.lease_length);
        let req = LeaseStart {
            lease: guard.id(),
            lease_ms: self.lease_length.as_millis() as u64,
            key: start.key,
            service: start.service,
            kind: start.kind,
            payload: start.payload,
            resources: start.resources,
            checkpoint: None,
            traceparent,
        };
        match timeout_at(guard.lapses_at(), self.worker.start(req)).await {
            Ok(Err(WorkerError::Refused(e))) => {
                guard.release();
                TaskResult::NotStarted(NotStarted::Executor(e.to_string())).into()
            }
            Ok(Ok(()) | Err(_)) | Err(_) => guard.wait(deadline).await,
        }
    }
}

/// Returns the identifier of an attempt's lease.  It depends only on the attempt, so a repeated
/// start uses the same lease.
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
