use std::time::Duration;

use ports::LeaseStatus;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::TaskControl;

/// One lease with its task.
#[derive(Debug)]
pub(crate) struct Lease {
    nominal: Duration,
    control: TaskControl,
    deadline: watch::Sender<Instant>,
    status: watch::Sender<LeaseStatus>,
    stop: CancellationToken,
}

impl Lease {
    /// Creates a lease for a task of a nominal run time, some of which is already done.
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

    pub(crate) fn end(&self, status: LeaseStatus) {
        self.status.send_replace(status);
    }

    /// Returns the work done so far, in nominal run time.
    pub(crate) fn done(&self) -> Duration {
        self.nominal.saturating_sub(self.control.left(Instant::now()))
    }

    /// Waits for the end of the task and returns the state it is in after `wait`.
    pub(crate) async fn status(&self, wait: Duration) -> LeaseStatus {
        let mut status = self.status.subscribe();
        let _ = timeout(wait, status.wait_for(LeaseStatus::is_ended)).await;
        status.borrow().clone()
    }

    /// Completes when the holder stops the task.
    pub(crate) async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    /// Completes when the lease lapses.
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
