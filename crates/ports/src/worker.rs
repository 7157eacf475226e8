use futures::future::BoxFuture;

use crate::{Checkpoint, LeaseId, LeaseStart, LeaseStatus, WorkerError, WorkerUsage};

/// A worker of the platform, which runs tasks under leases.  It starts what it is given,
/// whether it fits or not.
///
/// Every operation fails with a [`WorkerError`], which tells whether it may have taken
/// effect.
pub trait Worker: Send + Sync + 'static {
    /// Starts a task under a new lease.
    ///
    /// # Errors
    ///
    /// [`WorkerError::NoAnswer`] leaves open whether the task was started.
    fn start(&self, start: LeaseStart) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Lets a lease last for `lease_ms` milliseconds from now.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] when its task has ended.
    fn renew(&self, lease: LeaseId, lease_ms: u64) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Stops the task under a lease.
    ///
    /// # Errors
    ///
    /// [`WorkerError::NoAnswer`] leaves open whether the task was stopped.
    fn stop(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Slows a task down to a percentage of its speed; 0 pauses it.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] when the task has ended.
    fn throttle(&self, lease: LeaseId, percent: u8) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Notes how far a task has run.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] when the task has ended.
    fn checkpoint(&self, lease: LeaseId) -> BoxFuture<'_, Result<Checkpoint, WorkerError>>;

    /// Returns the state of a task, waiting up to `wait_ms` milliseconds for its end.
    ///
    /// # Errors
    ///
    /// [`WorkerError::UnknownLease`] when the worker never started the lease or restarted
    /// since.
    fn status(
        &self,
        lease: LeaseId,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<LeaseStatus, WorkerError>>;

    /// Returns the latest usage report, which lags behind.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] while usage is not reported.
    fn usage(&self) -> BoxFuture<'_, Result<WorkerUsage, WorkerError>>;
}
