//! Capacity that is kept for more urgent jobs.
//!
//! Load pattern: urgent jobs arrive in short intervals while long tasks of less urgent jobs fill
//! the pool. Each urgent job then waits until a long task ends. A task of a less urgent job that
//! would run for longer than the urgent ones therefore leaves as much free as the urgent jobs need
//! that wait or are expected during its run, up to a bound.

use std::sync::Arc;

use crate::DirectJob;

/// Maximum share of a pool's capacity that is kept for more urgent jobs. Less urgent jobs must be
/// able to use nearly all of an idle pool.
const MAX_KEPT_SHARE: f64 = 0.1;
/// Time over which arrivals are averaged, milliseconds.
const AVERAGING_MS: f64 = 1_000.0;
/// Number of arrivals in that time under which none are expected.
const MIN_ARRIVALS: f64 = 0.25;
/// Weight of one observation of a job's size and run time.
const SIZE_WEIGHT: f64 = 0.1;

types::plain! {
    /// The recent jobs of one urgency in one pool.
    struct Class {
        pool: Arc<str>,
        priority: u8,
        /// Arrivals over [`AVERAGING_MS`], decayed until `updated_ms`.
        arrivals: f64,
        updated_ms: u64,
        /// Mean processor capacity that a job needs at a time, milli-cores.
        milli_cores: f64,
        /// Mean declared run time of a task, milliseconds.
        run_ms: f64,
        /// Processor capacity for which its queued tasks wait, milli-cores.
        queued_milli_cores: f64,
    }

    /// The recent jobs by pool and urgency.
    #[derive(Default)]
    pub(crate) struct UrgentWork {
        classes: Vec<Class>,
    }
}

impl Class {
    fn arrivals_at(&self, now_ms: u64) -> f64 {
        let idle_ms = u32::try_from(now_ms.saturating_sub(self.updated_ms)).unwrap_or(u32::MAX);
        self.arrivals * (-f64::from(idle_ms) / AVERAGING_MS).exp()
    }

    /// Returns the processor capacity that its jobs need during a run, milli-cores: that of the
    /// queued tasks, and of one job if one is expected to arrive.
    fn demand_milli_cores(&self, run_ms: f64, now_ms: u64) -> f64 {
        let arrivals = self.arrivals_at(now_ms);
        let expected = if arrivals < MIN_ARRIVALS { 0.0 } else { arrivals * run_ms / AVERAGING_MS };
        self.queued_milli_cores + self.milli_cores * expected.min(1.0)
    }
}

impl UrgentWork {
    pub(crate) fn record_arrival(&mut self, job: &DirectJob, now_ms: u64) {
        let sizes = job.steps.iter().map(|step| {
            let milli_cores = f64::from(step.tasks) * f64::from(step.need.milli_cores);
            (milli_cores, f64::from(step.estimate_ms))
        });
        let (milli_cores, run_ms) =
            sizes.fold((0.0, 0.0), |a: (f64, f64), b| (a.0.max(b.0), a.1.max(b.1)));
        match self.class(&job.pool, job.priority) {
            Some(class) => {
                class.arrivals = class.arrivals_at(now_ms) + 1.0;
                class.updated_ms = now_ms;
                class.milli_cores += SIZE_WEIGHT * (milli_cores - class.milli_cores);
                class.run_ms += SIZE_WEIGHT * (run_ms - class.run_ms);
            }
            None => self.classes.push(Class {
                pool: Arc::clone(&job.pool),
                priority: job.priority,
                arrivals: 1.0,
                updated_ms: now_ms,
                milli_cores,
                run_ms,
                queued_milli_cores: 0.0,
            }),
        }
    }

    /// Begins a round of placement: no task is known to wait.
    pub(crate) fn clear_queued(&mut self) {
        for class in &mut self.classes {
            class.queued_milli_cores = 0.0;
        }
    }

    /// Records that tasks of a job found no agent in this round.
    pub(crate) fn record_queued(&mut self, job: &DirectJob, milli_cores: f64) {
        if let Some(class) = self.class(&job.pool, job.priority) {
            class.queued_milli_cores += milli_cores;
        }
    }

    /// Returns the processor capacity that jobs of the pool that are more urgent than `priority`
    /// need during a run of `run_ms`, milli-cores; 0 if their tasks run as long.
    pub(crate) fn demand_milli_cores(
        &self,
        pool: &str,
        priority: u8,
        run_ms: f64,
        now_ms: u64,
    ) -> f64 {
        let is_more_urgent = |class: &&Class| {
            class.priority < priority && class.run_ms < run_ms && *class.pool == *pool
        };
        let classes = self.classes.iter().filter(is_more_urgent);
        classes.map(|class| class.demand_milli_cores(run_ms, now_ms)).sum()
    }

    fn class(&mut self, pool: &str, priority: u8) -> Option<&mut Class> {
        let is_same = |class: &&mut Class| class.priority == priority && *class.pool == *pool;
        self.classes.iter_mut().find(is_same)
    }
}

/// Returns how much of the wanted capacity is kept: a bounded share of the pool, and no more than
/// lets a task that needs `need` start while the pool is idle.
pub(crate) fn kept_milli_cores(wanted: f64, capacity: f64, need: f64) -> f64 {
    wanted.min(capacity * MAX_KEPT_SHARE).min((capacity - need).max(0.0))
}
