//! Reservations of agents for queued tasks.

use types::Resources;

use crate::dispatcher::{
    AgentKey, Dispatcher, JobKey, agent_choice::Placing, job_state::JobState,
    passed_over::TaskLimits,
};

/// Maximum number of reservations at a time, and of one job: they bound the cost of a round of
/// placement. A task for which there is none waits as it does without look-ahead.
const MAX_RESERVATIONS: usize = 16;
const MAX_JOB_RESERVATIONS: usize = 4;
/// Maximum number of searches for an agent to reserve in a period, and the period, milliseconds. A
/// search visits all agents and all attempts of this entry, which takes some 60 microseconds.
pub(crate) const MAX_SEARCHES: u32 = 2;
const SEARCH_PERIOD_MS: u64 = 10;
/// Number of reservations of a job that may end without a start; after these, its estimates or the
/// load of other entries make further ones useless.
const MAX_FAILED: u8 = 8;
/// Number of these that a search without a result counts for.
const VAIN_SEARCH: u8 = 4;
/// Time after the expected start at which a reservation ends, milliseconds: two periods of the
/// reports of a busy agent.
const MARGIN_MS: u64 = 40;

types::plain! {
    /// Reservation of an agent for a queued task.
    #[derive(Copy)]
    pub(crate) struct Reservation {
        job: JobKey,
        step: u16,
        task: u32,
        /// The job's place in the queue.
        pub(crate) place: (bool, u8, JobKey),
        pub(crate) agent: AgentKey,
        need: Resources,
        /// Time at which the task is expected to fit.
        pub(crate) start_ms: u64,
        /// Capacity that is expected to be free at `start_ms` beside the reserved ones.
        pub(crate) slack: Resources,
    }

    /// Whether a reservation stays in force.
    #[derive(Copy, Eq)]
    enum Validity {
        InForce,
        /// The task has started, its job has been answered, or the agent is no longer suitable.
        Ended,
        /// The task cannot start there before the reservation ends, or has not.
        Failed,
    }
}

impl Dispatcher {
    /// Begins a round of placement: drops reservations that are no longer in force and updates the
    /// others.
    pub(crate) fn begin_look_ahead_round(&mut self, now_ms: u64) {
        if !self.lookahead.is_on {
            return;
        }
        self.lookahead.urgent_work.clear_queued();
        if now_ms >= self.lookahead.searches_from_ms + SEARCH_PERIOD_MS {
            self.lookahead.searches_from_ms = now_ms;
            self.lookahead.searches_left = MAX_SEARCHES;
        }
        // Several rounds in a millisecond see nearly the same state.
        if self.lookahead.reservations.is_empty() || now_ms == self.lookahead.updated_ms {
            return;
        }
        self.lookahead.updated_ms = now_ms;
        let mut reservations = std::mem::take(&mut self.lookahead.reservations);
        reservations.retain(|reservation| match self.validity(reservation, now_ms) {
            Validity::InForce => true,
            Validity::Ended => false,
            Validity::Failed => {
                self.lookahead.record_failure(reservation.job, 1);
                false
            }
        });
        self.lookahead.reservations = reservations;
        for index in 0..self.lookahead.reservations.len() {
            self.lookahead.reservations[index].slack = self.slack(index, now_ms);
        }
    }

    fn validity(&self, reservation: &Reservation, now_ms: u64) -> Validity {
        let Reservation { job, step, task, agent, need, start_ms, .. } = *reservation;
        let Some(state) = self.jobs.get(&job) else { return Validity::Ended };
        let is_pending = state.steps[usize::from(step)].pending.contains(&task);
        if !is_pending || !self.is_suitable(job, state, step, task, agent, now_ms) {
            return Validity::Ended;
        }
        let end_ms = start_ms + MARGIN_MS;
        let fits = |at_ms: u64| need.fits_in(self.expected_free(agent, at_ms, now_ms));
        if now_ms < end_ms && fits(end_ms) { Validity::InForce } else { Validity::Failed }
    }

    /// Returns whether an agent may run a task once it has the capacity.
    fn is_suitable(
        &self,
        key: JobKey,
        state: &JobState,
        step: u16,
        task: u32,
        agent: AgentKey,
        now_ms: u64,
    ) -> bool {
        let requirements = self.requirements(state, step, now_ms);
        let placing = self.placing(key, state, step, &requirements);
        // A wait after a refusal is over long before a reservation begins.
        let avoided = self.avoided(state, step, task, now_ms);
        let limits = TaskLimits { avoided, refusals: &[] };
        let view = &self.agents[agent.0 as usize];
        view.is_in_pool(&state.job.pool)
            && !view.health.rejects_tasks(now_ms, 0)
            && self.unsuitable(&placing, agent, view, limits).is_none()
            && view.fits(placing.step)
    }

    /// Updates what an agent is expected to have beside its reservations.
    pub(crate) fn update_slack(&mut self, agent: AgentKey, now_ms: u64) {
        for index in 0..self.lookahead.reservations.len() {
            if self.lookahead.reservations[index].agent == agent {
                self.lookahead.reservations[index].slack = self.slack(index, now_ms);
            }
        }
    }

    /// Returns the capacity that is expected to be free when a reservation begins, beside it and
    /// those that begin before and are not of less urgent or later jobs.
    fn slack(&self, index: usize, now_ms: u64) -> Resources {
        let reservation = &self.lookahead.reservations[index];
        let Reservation { agent, start_ms, place, .. } = *reservation;
        let counts = |other: &&Reservation| {
            other.agent == agent && other.start_ms <= start_ms && other.place <= place
        };
        let reserved = self.lookahead.reservations.iter().filter(counts);
        let free = self.expected_free(agent, start_ms.max(now_ms), now_ms);
        reserved.fold(free, |free, other| free.saturating_sub(other.need))
    }

    /// Reserves agents for the tasks of a job that found none in this round.
    pub(crate) fn reserve_for(&mut self, key: JobKey, now_ms: u64) {
        if !self.lookahead.is_on {
            return;
        }
        let is_of_job = |reservation: &Reservation| reservation.job == key;
        let mut held = self.lookahead.reservations.iter().filter(|r| is_of_job(r)).count();
        let Some(state) = self.jobs.get(&key) else {
            self.lookahead.reservations.retain(|reservation| !is_of_job(reservation));
            return;
        };
        if held > 0 {
            self.lookahead.reservations.retain(|reservation| {
                !is_of_job(reservation)
                    || state.steps[usize::from(reservation.step)]
                        .pending
                        .contains(&reservation.task)
            });
            held = self.lookahead.reservations.iter().filter(|r| is_of_job(r)).count();
        }
        let Some(step) = state.eligible_steps().next() else { return };
        let pending = &state.steps[usize::from(step)].pending;
        let need = state.job.steps[usize::from(step)].need;
        let waiting = u32::try_from(pending.len()).unwrap_or(u32::MAX);
        let milli_cores = f64::from(need.milli_cores) * f64::from(waiting);
        self.lookahead.urgent_work.record_queued(&state.job, milli_cores);
        let has_failed =
            self.lookahead.failed.get(&key).is_some_and(|failed| *failed >= MAX_FAILED);
        if has_failed || self.lookahead.searches_left == 0 {
            return;
        }
        let first = pending.iter().rev().take(MAX_JOB_RESERVATIONS);
        let tasks: Vec<u32> = first.copied().collect();
        for task in tasks {
            let has_one = |r: &Reservation| r.job == key && r.step == step && r.task == task;
            if self.lookahead.reservations.iter().any(has_one) {
                continue;
            }
            if held >= MAX_JOB_RESERVATIONS
                || self.lookahead.reservations.len() >= MAX_RESERVATIONS
                || self.lookahead.searches_left == 0
            {
                return;
            }
            self.lookahead.searches_left -= 1;
            let Some(reservation) = self.find_reservation(key, step, task, now_ms) else {
                self.lookahead.record_failure(key, VAIN_SEARCH);
                return;
            };
            self.lookahead.reservations.push(reservation);
            self.lookahead.counts.reservations += 1;
            held += 1;
            self.update_slack(reservation.agent, now_ms);
        }
    }

    /// Returns a reservation of the agent where a task is expected to fit first; `None` if it can
    /// start now, or nowhere in time. Of agents at which it fits at the same time, entries prefer
    /// different ones.
    fn find_reservation(
        &self,
        key: JobKey,
        step: u16,
        task: u32,
        now_ms: u64,
    ) -> Option<Reservation> {
        let state = self.jobs.get(&key)?;
        let requirements = self.requirements(state, step, now_ms);
        let placing = self.placing(key, state, step, &requirements);
        // A wait after a refusal is over long before a reservation begins.
        let avoided = self.avoided(state, step, task, now_ms);
        let limits = TaskLimits { avoided, refusals: &[] };
        let need = requirements.need;
        let place = state.queue_place(key);
        let mut ends = Vec::new();
        let mut best: Option<(u64, u64, AgentKey)> = None;
        for (agent, view) in self.active_agents() {
            if !view.is_in_pool(&state.job.pool)
                || !view.fits(placing.step)
                || view.health.is_suspect()
                || self.unsuitable(&placing, agent, view, limits).is_some()
            {
                continue;
            }
            let is_ahead = |other: &&Reservation| other.agent == agent && other.place <= place;
            let reserved = self.lookahead.reservations.iter().filter(is_ahead);
            let total = reserved.fold(need, |sum, other| sum.saturating_add(other.need));
            let Some(start_ms) = self.expected_fit_ms(agent, total, now_ms, &mut ends) else {
                continue;
            };
            let is_in_time = is_in_time(&placing, view.speed.value(), start_ms);
            let rank = (start_ms, view.rank, agent);
            if is_in_time && best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let (start_ms, _, agent) = best.filter(|(start_ms, ..)| *start_ms > now_ms)?;
        let slack = Resources::default();
        Some(Reservation { job: key, step, task, place, agent, need, start_ms, slack })
    }
}

/// Returns whether a task that starts then ends in time, and its job is not refused before.
fn is_in_time(placing: &Placing, speed: f64, start_ms: u64) -> bool {
    let Placing { state, requirements, .. } = placing;
    let latest_start_ms =
        if state.may_have_run() { state.deadline_ms } else { state.refuse_at_brief_ms };
    let wait_ms = start_ms.saturating_sub(requirements.now_ms);
    let wait_ms = f64::from(u32::try_from(wait_ms).unwrap_or(u32::MAX));
    let end_ms = wait_ms + requirements.expected_ms / speed;
    start_ms < latest_start_ms && end_ms <= requirements.max_expected_ms
}
