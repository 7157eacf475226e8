//! One lease while its task runs.

use std::sync::Arc;

use ports::{LeaseId, LeaseStatus, Worker, WorkerError};
use rpc::TaskResult;
use tokio::time::{Duration, Instant, sleep_until, timeout_at};
use types::Resources;

use crate::{metric_names, run_end::RunEnd};

const RETRY: Duration = Duration::from_millis(50);
/// A lease is renewed after this part of its length.
const RENEW_PART: u32 = 4;
/// A request about a lease is given up, and sent over another connection, after this part
/// of its length.
const REQUEST_PART: u32 = 8;

/// A lease that is renewed until its task ends.  Dropping it stops the task.
pub(crate) struct LeaseHold {
    worker: Arc<dyn Worker>,
    id: LeaseId,
    length: Duration,
    /// When the latest renewal that took effect was sent.
    renewed_at: Instant,
    usage: Option<Resources>,
    is_held: bool,
}

impl LeaseHold {
    /// Holds a lease that is about to be asked for.
    pub(crate) fn new(worker: Arc<dyn Worker>, id: LeaseId, length: Duration) -> Self {
        let renewed_at = Instant::now();
        Self { worker, id, length, renewed_at, usage: None, is_held: true }
    }

    pub(crate) fn id(&self) -> LeaseId {
        self.id
    }

    /// Returns when the lease lapses unless it is renewed, on this process's clock.
    pub(crate) fn lapses_at(&self) -> Instant {
        self.renewed_at + self.length
    }

    /// Ends a lease under which nothing runs.
    pub(crate) fn release(mut self) {
        self.is_held = false;
    }

    /// Waits for the end of the task and renews its lease meanwhile.
    pub(crate) async fn wait(mut self, deadline: Instant) -> RunEnd {
        loop {
            let now = Instant::now();
            if now >= self.lapses_at() {
                metrics::counter!(metric_names::LEASES_LAPSED).increment(1);
                return self.end("the lease lapsed");
            }
            if now >= deadline {
                return self.end("the deadline passed under the lease");
            }
            let renew_at = self.renewed_at + self.length / RENEW_PART;
            if now >= renew_at {
                self.renew().await;
            }
            if let Some(result) = self.status(deadline).await {
                self.is_held = false;
                return RunEnd { result, usage: self.usage };
            }
        }
    }

    fn end(&self, reason: &str) -> RunEnd {
        RunEnd { result: TaskResult::Unknown(reason.to_owned()), usage: self.usage }
    }

    /// Returns the limit of one request.
    fn request_limit(&self) -> Instant {
        self.lapses_at().min(Instant::now() + self.length / REQUEST_PART)
    }

    async fn renew(&mut self) {
        let sent_at = Instant::now();
        let limit = self.request_limit();
        let length_ms = self.length.as_millis() as u64;
        if let Ok(Ok(())) = timeout_at(limit, self.worker.renew(self.id, length_ms)).await {
            self.renewed_at = sent_at;
            self.read_usage().await;
        }
    }

    async fn read_usage(&mut self) {
        let limit = self.request_limit();
        if let Ok(Ok(report)) = timeout_at(limit, self.worker.usage()).await {
            let found = report.leases.iter().find(|usage| usage.lease == self.id);
            self.usage = found.map(|usage| usage.used).or(self.usage);
        }
    }

    /// Waits for the end of the task until the lease is to be renewed.
    async fn status(&self, deadline: Instant) -> Option<TaskResult> {
        let now = Instant::now();
        let wait_until = (self.renewed_at + self.length / RENEW_PART).min(deadline);
        let wait_ms = wait_until.saturating_duration_since(now).as_millis() as u64;
        let limit = (wait_until.max(now) + self.length / REQUEST_PART).min(self.lapses_at());
        match timeout_at(limit, self.worker.status(self.id, wait_ms)).await {
            Ok(Ok(status)) => ended(status),
            Ok(Err(WorkerError::UnknownLease(e))) => Some(TaskResult::Unknown(e.to_string())),
            Ok(Err(_)) | Err(_) => {
                sleep_until((Instant::now() + RETRY).min(self.lapses_at())).await;
                None
            }
        }
    }
}

/// Returns the result of a task that has ended.
fn ended(status: LeaseStatus) -> Option<TaskResult> {
    match status {
        LeaseStatus::Running => None,
        LeaseStatus::Finished(answer) => Some(TaskResult::Done(answer)),
        LeaseStatus::Failed(message) => Some(TaskResult::Failed(message)),
        LeaseStatus::Stopped => Some(TaskResult::Unknown("the task was stopped".to_owned())),
        LeaseStatus::Lapsed => Some(TaskResult::Unknown("the lease lapsed".to_owned())),
    }
}

impl Drop for LeaseHold {
    fn drop(&mut self) {
        if !self.is_held {
            return;
        }
        let worker = Arc::clone(&self.worker);
        let id = self.id;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = worker.stop(id).await;
            });
        }
    }
}
