use std::time::Duration;

use ports::LeaseStatus;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::TaskControl;

/// A lease and the state of the task that runs under it.
#[derive(Debug)]
pub(crate) struct Lease {
    nominal: Duration,
    control: TaskControl,
    deadline: watch::Sender<Instant>,
    status: watch::Sender<LeaseStatus>,
    stop: CancellationToken,
}

impl Lease {
    /// Creates a lease for a task with the given nominal run time, of which `done` was completed
    /// by an earlier run.
    pub(crate) fn new(nominal: Duration, done: Duration, lease_time: Duration) -> Self {
        Self {
            nominal,
            control: TaskControl::new(nominal.saturating_sub(done)),
            deadline: watch::Sender::new(Instant::now() + lease_time),
            status: watch::Sender::new(LeaseStatus::Running),
            stop: CancellationToken::new(),
        }
    }

    pub(crate) fn control(&self) -> &TaskControl {
        &self.control
    }

    pub(crate) fn is_running(&self) -> bool {
        !self.status.borrow().is_ended()
    }

    pub(crate) fn renew(&self, lease_time: Duration) {
        self.deadline.send_replace(Instant::now() + lease_time);
    }

    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Sets the final status of the task.
    pub(crate) fn complete(&self, status: LeaseStatus) {
        self.status.send_replace(status);
    }

    /// Returns the work completed so far, in nominal run time.
    pub(crate) fn work_done(&self) -> Duration {
        self.nominal.saturating_sub(self.control.remaining(Instant::now()))
    }

    /// Waits for the task to end, at most for `wait`, and returns its status.
    pub(crate) async fn status(&self, wait: Duration) -> LeaseStatus {
        let mut status = self.status.subscribe();
        let _ = timeout(wait, status.wait_for(LeaseStatus::is_ended)).await;
        status.borrow().clone()
    }

    /// Completes when the holder stops the task.
    pub(crate) async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    /// Completes when the lease lapses because it was not renewed in time.
    pub(crate) async fn lapsed(&self) {
        let mut deadline = self.deadline.subscribe();
        loop {
            let until = *deadline.borrow_and_update();
            tokio::select! {
                () = sleep_until(until) => return,
                _ = deadline.changed() => {}
            }
        }
    }
}
