use std::{
    thread,
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use crate::PlannedJob;

/// A planned job that is due.
#[derive(Debug)]
pub(crate) struct DueJob {
    pub(crate) job: PlannedJob,
    /// The planned time of sending.
    pub(crate) due: Instant,
}

/// Sends each job to the returned channel at its planned time. Runs on a thread of its own
/// because the timers of the runtime are too coarse.
pub(crate) fn spawn(jobs: Vec<PlannedJob>, start: Instant) -> mpsc::UnboundedReceiver<DueJob> {
    let (tx, rx) = mpsc::unbounded_channel();
    thread::spawn(move || {
        jobs.into_iter().map(|job| DueJob { due: start + job.at, job }).all(|due_job| {
            thread::sleep(time_until(due_job.due));
            tx.send(due_job).is_ok()
        })
    });
    rx
}

fn time_until(due: Instant) -> Duration {
    due.saturating_duration_since(Instant::now())
}
