use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep_until};

/// Calls that may be made at once after an idle period.
const BURST_CALLS: u32 = 4;

/// Lower limit of a process's share, which bounds the interval between its calls.
const MIN_CALLS_PER_SECOND: f64 = 0.1;

/// A rate limit on calls to the platform; its clones share it.
///
/// The platform's rate limit is divided evenly among the processes that share it, so that they
/// observe it without coordination.
#[derive(Clone, Debug)]
pub struct CallBudget {
    schedule: Arc<Mutex<Schedule>>,
}

#[derive(Debug)]
struct Schedule {
    interval: Duration,
    next: Instant,
}

impl CallBudget {
    /// Creates the budget of one process out of `processes` that share `calls_per_second`.
    pub fn new(calls_per_second: f64, processes: usize) -> Self {
        let schedule =
            Schedule { interval: interval(calls_per_second, processes), next: Instant::now() };
        Self { schedule: Arc::new(Mutex::new(schedule)) }
    }

    /// Recomputes the share after the total rate or the number of processes has changed.
    pub fn set_share(&self, calls_per_second: f64, processes: usize) {
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        schedule.interval = interval(calls_per_second, processes);
    }

    /// Waits until one call may be made.
    pub async fn acquire(&self) {
        sleep_until(self.reserve()).await;
    }

    fn reserve(&self) -> Instant {
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let burst = schedule.interval * (BURST_CALLS - 1);
        let earliest = now.checked_sub(burst).unwrap_or(now);
        let start = schedule.next.max(earliest);
        schedule.next = start + schedule.interval;
        start
    }
}

fn interval(calls_per_second: f64, processes: usize) -> Duration {
    let share = calls_per_second / processes.max(1) as f64;
    Duration::from_secs_f64(1.0 / share.max(MIN_CALLS_PER_SECOND))
}
