use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use types::Resources;

use crate::{FaultSet, TaskControl};

const MIN_SLOW_FACTOR: f64 = 0.001;
const MAX_SLOW_FACTOR: f64 = 1_000_000.0;

types::plain! {
    /// The load up to which a [`Processor`] runs tasks at full speed.
    #[derive(Copy)]
    pub struct Capacity {
        /// Number of concurrent tasks.
        pub tasks: u32,
        /// Sum of the resources that the tasks use.
        pub resources: Resources,
    }

    #[derive(Copy, Default)]
    struct Occupancy {
        tasks: u32,
        resources: Resources,
    }
}

/// Emulates a processor that tasks with nominal run times share.
///
/// It accepts every task: load beyond its capacity slows all tasks down in proportion.
#[derive(Debug)]
pub struct Processor {
    capacity: Capacity,
    speed: f64,
    occupancy: watch::Sender<Occupancy>,
}

/// Accounts for one running task until it is dropped.
struct RunningTask<'a> {
    occupancy: &'a watch::Sender<Occupancy>,
    demand: Resources,
}

impl Processor {
    /// Creates a processor; a speed of 2 halves the nominal run times.
    pub fn new(capacity: Capacity, speed: f64) -> Self {
        Self { capacity, speed, occupancy: watch::Sender::new(Occupancy::default()) }
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> u32 {
        self.occupancy.borrow().tasks
    }

    /// Runs the work that `control` reports as remaining, to its end.
    pub async fn run<F: FaultSet>(
        &self,
        demand: Resources,
        control: &TaskControl,
        mut faults: watch::Receiver<F>,
    ) {
        let _running = RunningTask::enter(&self.occupancy, demand);
        let mut occupancy = self.occupancy.subscribe();
        let mut throttle = control.throttle();
        loop {
            let slow_factor = faults.borrow_and_update().slow_factor();
            let shared = self.rate(*occupancy.borrow_and_update(), slow_factor);
            let rate = shared * *throttle.borrow_and_update();
            let remaining = control.set_rate(rate, Instant::now());
            tokio::select! {
                () = wait_for_completion(remaining, rate) => return,
                _ = occupancy.changed() => {}
                _ = faults.changed() => {}
                _ = throttle.changed() => {}
            }
        }
    }

    /// Occupies the resources of a task and never completes.
    pub(crate) async fn hang<T>(&self, demand: Resources) -> T {
        let _running = RunningTask::enter(&self.occupancy, demand);
        std::future::pending().await
    }

    fn rate(&self, occupancy: Occupancy, slow_factor: f64) -> f64 {
        let slow_factor = slow_factor.clamp(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR);
        self.speed / occupancy.utilisation(&self.capacity).max(1.0) / slow_factor
    }
}

impl Occupancy {
    /// Returns the largest ratio of used to available capacity over all resources.
    fn utilisation(&self, capacity: &Capacity) -> f64 {
        let (used, available) = (self.resources, capacity.resources);
        ratio(self.tasks, capacity.tasks)
            .max(ratio(used.milli_cores, available.milli_cores))
            .max(ratio(used.memory_mb, available.memory_mb))
            .max(ratio(used.accelerators, available.accelerators))
    }
}

impl<'a> RunningTask<'a> {
    fn enter(occupancy: &'a watch::Sender<Occupancy>, demand: Resources) -> Self {
        occupancy.send_modify(|o| {
            o.tasks += 1;
            o.resources = o.resources.saturating_add(demand);
        });
        Self { occupancy, demand }
    }
}

impl Drop for RunningTask<'_> {
    fn drop(&mut self) {
        self.occupancy.send_modify(|o| {
            o.tasks -= 1;
            o.resources = o.resources.saturating_sub(self.demand);
        });
    }
}

fn ratio(used: u32, available: u32) -> f64 {
    if used == 0 { 0.0 } else { f64::from(used) / f64::from(available) }
}

/// Waits until the remaining work is done at a constant rate; at rate zero it never completes.
async fn wait_for_completion(remaining: Duration, rate: f64) {
    match Duration::try_from_secs_f64(remaining.as_secs_f64() / rate) {
        Ok(time) => sleep(time).await,
        Err(_) => std::future::pending().await,
    }
}
