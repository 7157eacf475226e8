use futures::future::BoxFuture;

use crate::{Checkpoint, LeaseId, LeaseStart, LeaseStatus, WorkerError, WorkerUsage};

/// A worker of the platform, which runs tasks under leases. It starts every task, also beyond
/// its capacity.
///
/// Every operation fails with a [`WorkerError`], which states whether the operation may have
/// taken effect.
pub trait Worker: Send + Sync + 'static {
    /// Starts a task under a new lease.
    ///
    /// # Errors
    ///
    /// [`WorkerError::NoAnswer`] means that the task may have been started or not.
    fn start(&self, start: LeaseStart) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Renews a lease, so that it lapses `lease_ms` milliseconds from now.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] when its task has ended.
    fn renew(&self, lease: LeaseId, lease_ms: u64) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Stops the task under a lease.
    ///
    /// # Errors
    ///
    /// [`WorkerError::NoAnswer`] means that the task may have been stopped or not.
    fn stop(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Slows a task down to a percentage of its speed; 0 pauses it.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] when the task has ended.
    fn throttle(&self, lease: LeaseId, percent: u8) -> BoxFuture<'_, Result<(), WorkerError>>;

    /// Records the progress of a task and returns it.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] when the task has ended.
    fn checkpoint(&self, lease: LeaseId) -> BoxFuture<'_, Result<Checkpoint, WorkerError>>;

    /// Returns the status of a task, waiting up to `wait_ms` milliseconds for its end.
    ///
    /// # Errors
    ///
    /// [`WorkerError::UnknownLease`] when the worker did not start the lease or has restarted
    /// since.
    fn status(
        &self,
        lease: LeaseId,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<LeaseStatus, WorkerError>>;

    /// Returns the latest usage report; it is [`WorkerUsage::age_ms`] milliseconds old.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Refused`] while the worker reports no usage.
    fn usage(&self) -> BoxFuture<'_, Result<WorkerUsage, WorkerError>>;
}
