//! The lease of one task while the task runs.

use std::sync::Arc;

use ports::{LeaseId, LeaseStatus, Worker, WorkerError};
use rpc::TaskResult;
use tokio::time::{Duration, Instant, sleep_until, timeout_at};
use types::Resources;

use crate::{metric_names, run_outcome::RunOutcome};

/// Delay after a failed request for the status of a lease.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A lease is renewed after its length divided by this number.
const RENEWAL_DIVISOR: u32 = 4;
/// A request about a lease times out after the length of the lease divided by this number, and is
/// then sent over another connection.
const REQUEST_TIMEOUT_DIVISOR: u32 = 8;

/// A lease that is renewed until its task ends.  Dropping the guard stops the task.
pub(crate) struct LeaseGuard {
    worker: Arc<dyn Worker>,
    id: LeaseId,
    length: Duration,
    /// Time at which the latest successful renewal was sent.
    renewed_at: Instant,
    usage: Option<Resources>,
    stop_on_drop: bool,
}

impl LeaseGuard {
    /// Creates a guard for a lease that is about to be requested.
    pub(crate) fn new(worker: Arc<dyn Worker>, id: LeaseId, length: Duration) -> Self {
        let renewed_at = Instant::now();
        Self { worker, id, length, renewed_at, usage: None, stop_on_drop: true }
    }

    pub(crate) fn id(&self) -> LeaseId {
        self.id
    }

    /// Returns the time at which the lease lapses unless it is renewed, by the clock of this
    /// process.
    pub(crate) fn lapses_at(&self) -> Instant {
        self.renewed_at + self.length
    }

    /// Drops the guard without stopping a task, since none was started.
    pub(crate) fn release(mut self) {
        self.stop_on_drop = false;
    }

    /// Renews the lease until the task has ended, the lease has lapsed or the deadline has passed,
    /// and returns the outcome.
    pub(crate) async fn wait(mut self, deadline: Instant) -> RunOutcome {
        loop {
            let now = Instant::now();
            if now >= self.lapses_at() {
                metrics::counter!(metric_names::LEASES_LAPSED).increment(1);
                return self.unknown_outcome("the lease lapsed");
            }
            if now >= deadline {
                return self.unknown_outcome("the deadline passed under the lease");
            }
            let renew_at = self.renewed_at + self.length / RENEWAL_DIVISOR;
            if now >= renew_at {
                self.renew().await;
            }
            if let Some(result) = self.status(deadline).await {
                self.stop_on_drop = false;
                return RunOutcome { result, usage: self.usage };
            }
        }
    }

    fn unknown_outcome(&self, reason: &str) -> RunOutcome {
        RunOutcome { result: TaskResult::Unknown(reason.to_owned()), usage: self.usage }
    }

    /// Returns the time at which a request that is sent now times out.
    fn request_timeout_at(&self) -> Instant {
        self.lapses_at().min(Instant::now() + self.length / REQUEST_TIMEOUT_DIVISOR)
    }

    async fn renew(&mut self) {
        let sent_at = Instant::now();
        let limit = self.request_timeout_at();
        let length_ms = self.length.as_millis() as u64;
        if let Ok(Ok(())) = timeout_at(limit, self.worker.renew(self.id, length_ms)).await {
            self.renewed_at = sent_at;
            self.read_usage().await;
        }
    }

    async fn read_usage(&mut self) {
        let limit = self.request_timeout_at();
        if let Ok(Ok(report)) = timeout_at(limit, self.worker.usage()).await {
            let found = report.leases.iter().find(|usage| usage.lease == self.id);
            self.usage = found.map(|usage| usage.used).or(self.usage);
        }
    }

    /// Returns the result of the task if it ends before the next renewal is due.
    async fn status(&self, deadline: Instant) -> Option<TaskResult> {
        let now = Instant::now();
        let wait_until = (self.renewed_at + self.length / RENEWAL_DIVISOR).min(deadline);
        let wait_ms = wait_until.saturating_duration_since(now).as_millis() as u64;
        let limit =
            (wait_until.max(now) + self.length / REQUEST_TIMEOUT_DIVISOR).min(self.lapses_at());
        match timeout_at(limit, self.worker.status(self.id, wait_ms)).await {
            Ok(Ok(status)) => task_result(status),
            Ok(Err(WorkerError::UnknownLease(e))) => Some(TaskResult::Unknown(e.to_string())),
            Ok(Err(_)) | Err(_) => {
                sleep_until((Instant::now() + RETRY_DELAY).min(self.lapses_at())).await;
                None
            }
        }
    }
}

/// Returns the result of a task, or `None` while it runs.
fn task_result(status: LeaseStatus) -> Option<TaskResult> {
    match status {
        LeaseStatus::Running => None,
        LeaseStatus::Finished(answer) => Some(TaskResult::Done(answer)),
        LeaseStatus::Failed(message) => Some(TaskResult::Failed(message)),
        LeaseStatus::Stopped => Some(TaskResult::Unknown("the task was stopped".to_owned())),
        LeaseStatus::Lapsed => Some(TaskResult::Unknown("the lease lapsed".to_owned())),
    }
}

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        if !self.stop_on_drop {
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
