use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep_until};

/// Calls that may be made at once after a pause.
const BURST_CALLS: u32 = 4;

const MIN_CALLS_PER_SECOND: f64 = 0.1;

/// Limit of calls a second, shared by all parts of a process.
///
/// A rate of the platform is divided evenly among the processes that share it, so that no
/// traffic between them is needed to keep it.
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
    /// Creates the budget of one of `processes` processes out of `calls_per_second` for all.
    pub fn new(calls_per_second: f64, processes: usize) -> Self {
        let schedule =
            Schedule { interval: interval(calls_per_second, processes), next: Instant::now() };
        Self { schedule: Arc::new(Mutex::new(schedule)) }
    }

    /// Divides `calls_per_second` anew when the rate or the number of processes has changed.
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
