//! Placement that considers queued tasks and expected completions.
//!
//! Load pattern: large tasks beside streams of small ones. Every piece of capacity that becomes
//! free fits a small task first, so a large task, although it is first in the queue, waits for as
//! long as the stream lasts. A queued task therefore reserves the agent where it is expected to fit
//! first. Tasks of less urgent or later jobs may use that agent only if they leave the required
//! capacity free or end before. See `docs/design/look-ahead.md`.

mod completions;
mod reservations;
mod urgent_work;

use std::sync::Arc;

use indexmap::IndexMap;
use types::Resources;

pub(crate) use crate::dispatcher::lookahead::completions::ExpectedEnd;
use crate::{
    DirectJob,
    dispatcher::{
        AgentKey, Dispatcher, JobKey,
        agent_choice::{Placing, TaskRequirements},
        agent_view::AgentView,
        job_state::JobState,
        lookahead::{completions::MeanRun, reservations::Reservation, urgent_work::UrgentWork},
        passed_over::PassedOver,
    },
};

/// Time for which the largest recent need of a pool counts, milliseconds.
const WIDEST_NEED_MS: u64 = 2_000;
/// Cost of using the last room for a task of the largest recent need, as a share of the time until
/// the objective: it decides between agents of similar speed, and does not outweigh another zone.
const SPLIT_COST: f64 = 0.1;
/// Factor of the expected run time that must pass before a reservation begins, because a task that
/// ends late delays a more urgent one.
const BACKFILL_MARGIN: f64 = 1.2;

types::plain! {
    /// What look-ahead placement has done since the start of the process.
    #[derive(Copy, Default, Eq)]
    pub struct LookAheadCounts {
        /// Reservations made.
        pub reservations: u64,
        /// Tasks started at an agent that is reserved for a more urgent or earlier job.
        pub backfilled_tasks: u64,
    }

    /// State of look-ahead placement.
    #[derive(Default)]
    pub(crate) struct LookAhead {
        is_on: bool,
        reservations: Vec<Reservation>,
        /// Number of reservations of a job that ended without a start.
        failed: IndexMap<JobKey, u8>,
        /// Number of searches that may still be made in the period that began at `searches_from_ms`.
        searches_left: u32,
        searches_from_ms: u64,
        /// Time at which the reservations were last brought up to date.
        updated_ms: u64,
        urgent_work: UrgentWork,
        mean_run: MeanRun,
        /// Largest recent need of each pool and when it arrived.
        widest: Vec<(Arc<str>, Resources, u64)>,
        /// Pool, need and run time of the tasks for which no agent has had the capacity in this
        /// round. Without it, each queued job would be compared with each agent while capacity is
        /// reserved.
        full: Vec<(Arc<str>, Resources, f64)>,
        counts: LookAheadCounts,
    }
}

impl LookAhead {
    /// Records an accepted job.
    pub(crate) fn record_arrival(&mut self, job: &DirectJob, now_ms: u64) {
        if !self.is_on {
            return;
        }
        self.urgent_work.record_arrival(job, now_ms);
        let Some(need) = job.steps.iter().map(|step| step.need).max_by_key(|n| n.milli_cores)
        else {
            return;
        };
        match self.widest.iter_mut().find(|(pool, ..)| *pool == job.pool) {
            Some((_, widest, seen_ms)) => {
                let is_old = now_ms >= *seen_ms + WIDEST_NEED_MS;
                if is_old || need.milli_cores >= widest.milli_cores {
                    (*widest, *seen_ms) = (need, now_ms);
                }
            }
            None => self.widest.push((Arc::clone(&job.pool), need, now_ms)),
        }
    }

    /// Returns when a task that starts now is expected to end.
    pub(crate) fn expect_end(&mut self, now_ms: u64, run_ms: f64) -> ExpectedEnd {
        if self.is_on {
            self.mean_run.observe(run_ms);
        }
        ExpectedEnd::new(now_ms, run_ms)
    }

    /// Records that reservations of a job ended without a start, or that none was found.
    fn record_failure(&mut self, job: JobKey, count: u8) {
        let failed = self.failed.entry(job).or_insert(0);
        *failed = failed.saturating_add(count);
    }

    /// Forgets a job that has been answered.
    pub(crate) fn forget(&mut self, job: JobKey) {
        self.failed.swap_remove(&job);
    }

    /// Ends a round of placement: agents may have capacity in the next one.
    pub(crate) fn end_round(&mut self) {
        self.full.clear();
    }

    /// Records that no agent has the capacity for a task with these requirements.
    pub(crate) fn record_full(&mut self, pool: &Arc<str>, requirements: &TaskRequirements) {
        if self.is_on && !self.is_full(pool, requirements) {
            self.full.push((Arc::clone(pool), requirements.need, requirements.expected_ms));
        }
    }

    /// Returns whether no agent had the capacity for a task in this round that needs no more than
    /// these requirements.
    pub(crate) fn is_full(&self, pool: &str, requirements: &TaskRequirements) -> bool {
        self.full.iter().any(|(known, need, expected_ms)| {
            **known == *pool
                && need.fits_in(requirements.need)
                && *expected_ms <= requirements.expected_ms
        })
    }

    /// Returns the largest recent need of a pool if a task needs at most half of it.
    pub(crate) fn widest_beside(
        &self,
        pool: &str,
        requirements: &TaskRequirements,
    ) -> Option<Resources> {
        let TaskRequirements { need, now_ms, .. } = *requirements;
        let (_, widest, seen_ms) = self.widest.iter().find(|(known, ..)| **known == *pool)?;
        let is_small = need.milli_cores.saturating_mul(2) <= widest.milli_cores;
        (is_small && now_ms < *seen_ms + WIDEST_NEED_MS).then_some(*widest)
    }

    /// Returns whether an agent is reserved for a task.
    pub(crate) fn has_reservation(&self, agent: AgentKey) -> bool {
        self.reservations.iter().any(|reservation| reservation.agent == agent)
    }

    /// Records that tasks of a job start at an agent.
    pub(crate) fn record_starts(
        &mut self,
        place: (bool, u8, JobKey),
        agent: AgentKey,
        tasks: usize,
    ) {
        let is_ahead = |other: &Reservation| other.agent == agent && other.place < place;
        if self.reservations.iter().any(is_ahead) {
            self.counts.backfilled_tasks += tasks as u64;
        }
    }
}

impl Dispatcher {
    /// Sets whether placement considers queued tasks and expected completions.
    pub fn set_look_ahead(&mut self, is_on: bool) {
        let searches_left = reservations::MAX_SEARCHES;
        self.lookahead = LookAhead { is_on, searches_left, ..LookAhead::default() };
    }

    /// Returns what look-ahead placement has done since it was set.
    pub fn look_ahead_counts(&self) -> LookAheadCounts {
        self.lookahead.counts
    }

    /// Returns the free processor capacity of the pool that a task may use, milli-cores: all of it
    /// less what is kept for more urgent jobs.
    pub(crate) fn usable_milli_cores(
        &self,
        state: &JobState,
        requirements: &TaskRequirements,
    ) -> f64 {
        let TaskRequirements { need, expected_ms, now_ms, .. } = *requirements;
        let job = &state.job;
        let urgent_work = &self.lookahead.urgent_work;
        let wanted = urgent_work.demand_milli_cores(&job.pool, job.priority, expected_ms, now_ms);
        if wanted <= 0.0 {
            return f64::INFINITY;
        }
        let (mut free, mut capacity) = (0.0, 0.0);
        for (_, view) in self.active_agents() {
            if view.is_in_pool(&job.pool) && view.is_open(now_ms, self.timing.silence_ms) {
                free += f64::from(view.free().milli_cores);
                let upstream = view.upstream.as_ref();
                capacity += f64::from(upstream.map_or(0, |up| up.capacity.milli_cores));
            }
        }
        free - urgent_work::kept_milli_cores(wanted, capacity, f64::from(need.milli_cores))
    }

    /// Returns why a task does not get free capacity of an agent: it is reserved or kept for others.
    pub(crate) fn held_back(
        &self,
        placing: &Placing,
        key: AgentKey,
        (planned_here, planned): (u32, u32),
    ) -> Option<PassedOver> {
        if !self.lookahead.is_on {
            return None;
        }
        let TaskRequirements { need, now_ms, expected_ms, .. } = placing.requirements;
        let with_this = f64::from(planned) + 1.0;
        if with_this * f64::from(need.milli_cores) > placing.usable_milli_cores {
            return Some(PassedOver::KeptForUrgent);
        }
        if !self.lookahead.has_reservation(key) {
            return None;
        }
        let place = placing.state.queue_place(placing.key);
        let speed = self.agents[key.0 as usize].speed.value();
        let end = ExpectedEnd::new(now_ms, expected_ms / speed * BACKFILL_MARGIN);
        let is_reserved = self.lookahead.reservations.iter().any(|other| {
            other.agent == key
                && other.place < place
                && end.at_ms() > other.start_ms
                && !need.fits_in(other.slack.less(need, planned_here))
        });
        is_reserved.then_some(PassedOver::Reserved)
    }
}

/// Returns the cost of a small task that takes the last room for a large one at an agent.
pub(crate) fn split_cost(placing: &Placing, view: &AgentView, planned_here: u32) -> f64 {
    let Some(widest) = placing.widest else { return 0.0 };
    let need = placing.requirements.need;
    let free = view.free().less(need, planned_here);
    let splits = widest.fits_in(free) && !widest.fits_in(free.less(need, 1));
    if splits { SPLIT_COST } else { 0.0 }
}
