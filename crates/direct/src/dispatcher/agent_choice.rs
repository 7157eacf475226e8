//! Choice of an agent, and with it an upstream, for one task.

use types::Resources;

use crate::{
    JobStep,
    dispatcher::{
        AgentKey, Dispatcher, JobKey, agent_view::AgentView, crash_ledger::Suspicion,
        job_state::JobState, lookahead::split_cost, passed_over::TaskLimits, refusals::RefusalWait,
    },
};

/// Factor of the expected run time that should fit before the objective, because run times vary. An
/// upstream with less time is chosen only if there is no other.
const RUN_TIME_MARGIN: f64 = 1.6;
/// Cost of probably missing the objective: more than all other costs together.
const MISS_COST: f64 = 100.0;
/// Time after a job's arrival during which its tasks wait for agents on standby rather than start
/// where they would probably miss the objective, milliseconds: about two activations.
const WIDENING_WAIT_MS: u64 = 15;

/// Cost of an upstream for the jobs of another kind, which may crash it any moment; less than that
/// of a probable miss.
const CEDED_COST: f64 = 20.0;
/// Cost of a fully used upstream for a job that may crash it; less than that of a probable miss.
const SUSPECT_COMPANY_COST: f64 = 10.0;

types::plain! {
    /// Requirements of a task on the upstream that runs it.
    #[derive(Copy)]
    pub(crate) struct TaskRequirements {
        pub(crate) need: Resources,
        /// Expected run time at speed 1, milliseconds.
        pub(crate) expected_ms: f64,
        /// Time until the objective, milliseconds.
        pub(crate) until_objective_ms: f64,
        pub(crate) now_ms: u64,
        /// Maximum expected run time with which the task is started, milliseconds.
        pub(crate) max_expected_ms: f64,
        /// Wait before a task is sent again to an agent that has refused it.
        pub(crate) refusal_wait: RefusalWait,
    }
}

types::plain! {
    /// Why there is no agent for a task.
    #[derive(Copy, Eq)]
    pub(crate) enum NoAgent {
        /// No agent has the capacity; this holds for each later task that needs as much for as long.
        Full,
        /// Some agent is passed over for a reason that may not hold for another task.
        Unsuitable,
    }
}

/// What the placement of all tasks of a step has in common.
#[derive(Debug)]
pub(crate) struct Placing<'a> {
    pub(crate) key: JobKey,
    pub(crate) state: &'a JobState,
    pub(crate) step_index: u16,
    pub(crate) step: &'a JobStep,
    pub(crate) requirements: TaskRequirements,
    pub(crate) is_suspect: bool,
    pub(crate) is_confined: bool,
    /// Free processor capacity of the pool that is not kept for more urgent jobs, milli-cores.
    pub(crate) usable_milli_cores: f64,
    /// Recent need beside which the tasks are small; `None` if they are not, or without look-ahead.
    pub(crate) widest: Option<Resources>,
}

impl Dispatcher {
    /// Returns the requirements of a step's tasks. Tasks of a job that may already have run are
    /// started even if they will miss the objective.
    pub(crate) fn requirements(
        &self,
        state: &JobState,
        step: u16,
        now_ms: u64,
    ) -> TaskRequirements {
        #[allow(clippy::cast_precision_loss)]
        let until_objective_ms = state.objective_at_ms.saturating_sub(now_ms) as f64;
        TaskRequirements {
            need: state.job.steps[usize::from(step)].need,
            expected_ms: self.expected_ms(state, step, now_ms),
            until_objective_ms,
            now_ms,
            max_expected_ms: if state.may_have_run() { f64::INFINITY } else { until_objective_ms },
            refusal_wait: RefusalWait::Whole,
        }
    }

    /// Returns the expected run time of a step's tasks at speed 1, milliseconds.
    pub(crate) fn expected_ms(&self, state: &JobState, step: u16, now_ms: u64) -> f64 {
        let has_estimate = state.steps[usize::from(step)].has_estimate;
        let ratio = if has_estimate { self.kind_ratio(&state.job.kind, now_ms) } else { 1.0 };
        f64::from(state.job.steps[usize::from(step)].estimate_ms) * ratio
    }

    /// Returns the requirements of a step's tasks once the objective is out of reach: an answer
    /// still has value until it is late by twice the objective. A job that arrived late only gets
    /// capacity that is spare, so it may use it as long as its caller waits.
    pub(crate) fn late_requirements(
        &self,
        state: &JobState,
        step: u16,
        now_ms: u64,
    ) -> TaskRequirements {
        let worthless_at_ms =
            state.objective_at_ms.saturating_add(state.objective_ms.saturating_mul(2));
        let end_ms =
            if state.is_late { state.deadline_ms } else { worthless_at_ms.min(state.deadline_ms) };
        #[allow(clippy::cast_precision_loss)]
        let max_expected_ms = end_ms.saturating_sub(now_ms) as f64;
        TaskRequirements { max_expected_ms, ..self.requirements(state, step, now_ms) }
    }

    /// Returns what the placement of all tasks of a step has in common; nothing is kept for more
    /// urgent jobs yet.
    pub(crate) fn placing<'a>(
        &self,
        key: JobKey,
        state: &'a JobState,
        step_index: u16,
        requirements: &TaskRequirements,
    ) -> Placing<'a> {
        let is_suspect = self.suspicion(state) != Suspicion::None;
        Placing {
            key,
            state,
            step_index,
            step: &state.job.steps[usize::from(step_index)],
            requirements: *requirements,
            is_suspect,
            is_confined: self.is_confined(state, requirements.now_ms),
            usable_milli_cores: f64::INFINITY,
            widest: self.lookahead.widest_beside(&state.job.pool, requirements),
        }
    }

    /// Returns the agent with the lowest cost that can run one task of the step, or why there is
    /// none. `planned` holds the number of the step's tasks that are already planned for each agent.
    pub(crate) fn choose_agent(
        &self,
        placing: &Placing,
        task: u32,
        planned: &[(AgentKey, u32)],
    ) -> Result<AgentKey, NoAgent> {
        let Placing { state, step_index, step, ref requirements, is_suspect, .. } = *placing;
        let avoided = self.avoided(state, step_index, task, requirements.now_ms);
        let limits = TaskLimits { avoided, refusals: state.refusals(step_index, task) };
        let planned_tasks = planned.iter().map(|(_, n)| n).sum();
        let mut best: Option<(f64, AgentKey)> = None;
        let mut no_agent = NoAgent::Full;
        for (key, view) in self.active_agents() {
            let planned_here =
                planned.iter().find(|(agent, _)| *agent == key).map_or(0, |(_, n)| *n);
            let Some(upstream) = &view.upstream else { continue };
            if !view.is_in_pool(&state.job.pool) {
                continue;
            }
            let counts = (planned_here, planned_tasks);
            if let Some(reason) = self.passed_over(placing, key, view, limits, counts) {
                if !reason.holds_for_larger() && !self.is_taken(placing, key, view, counts) {
                    no_agent = NoAgent::Unsuitable;
                }
                continue;
            }
            let is_near = *upstream.zone == *self.zone;
            let is_on_rack = step.rack.as_ref().is_none_or(|rack| upstream.labels.contains(rack));
            let cost =
                cost(view.speed.value(), is_near, is_on_rack, planned_here > 0, requirements)
                    + if is_suspect { view.used_share() * SUSPECT_COMPANY_COST } else { 0.0 }
                    + if self.containment.is_ceded(&state.job.kind, key, requirements.now_ms) {
                        CEDED_COST
                    } else {
                        0.0
                    }
                    + split_cost(placing, view, planned_here);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        // An agent whose link is on standby may still run the task in time.
        let may_wait = requirements.now_ms < state.arrived_ms + WIDENING_WAIT_MS
            && requirements.max_expected_ms <= requirements.until_objective_ms;
        match best {
            Some((cost, _))
                if may_wait && cost >= MISS_COST && self.has_standby(&state.job.pool, step) =>
            {
                Err(NoAgent::Unsuitable)
            }
            Some((_, key)) => Ok(key),
            None => Err(no_agent),
        }
    }

    /// Returns whether a task with these needs would compete with other entries for the last slots
    /// of an agent in another zone.
    pub(crate) fn is_contest(&self, key: AgentKey, need: Resources) -> bool {
        let view = &self.agents[key.0 as usize];
        !self.is_near(view) && view.is_nearly_full(need)
    }

    /// Returns whether an upstream runs a task of another job that is suspected of crashing
    /// upstreams: a crash would then not tell which of the two is the cause.
    pub(crate) fn has_other_suspect(&self, view: &AgentView, state: &JobState) -> bool {
        let mut attempts = view.attempts.iter().filter_map(|id| self.attempts.get(id));
        attempts.any(|attempt| attempt.is_suspect && attempt.job_name != *state.name())
    }

    /// Returns whether an agent on standby can run tasks of the step.
    fn has_standby(&self, pool: &str, step: &JobStep) -> bool {
        self.agents_of(pool).any(|(_, view)| view.is_standby() && view.fits(step))
    }

    /// Returns the agents that a task must not be sent to again: those on which it failed, unless
    /// no other agent accepts tasks.
    pub(crate) fn avoided<'a>(
        &self,
        state: &'a JobState,
        step: u16,
        task: u32,
        now_ms: u64,
    ) -> &'a [AgentKey] {
        let Some(history) = state.histories.get(&(step, task)) else { return &[] };
        let is_other = |(key, view): (AgentKey, &AgentView)| {
            (view.is_open(now_ms, self.timing.silence_ms) || view.is_standby())
                && !history.avoided.contains(&key)
        };
        if self.agents_of(&state.job.pool).any(is_other) { &history.avoided } else { &[] }
    }
}

/// Returns the cost of running a task at an agent; lower is better. The unit is the time until the
/// objective.
fn cost(
    speed: f64,
    is_near: bool,
    is_on_rack: bool,
    is_shared: bool,
    requirements: &TaskRequirements,
) -> f64 {
    /// Cost of an upstream outside the entry's zone, as a share of the time until the objective.
    const OTHER_ZONE_COST: f64 = 0.5;
    /// Gain of an upstream that also gets other tasks of the step.
    const SHARED_GAIN: f64 = 0.25;
    /// Cost of a rack that does not hold the task's data.
    const OTHER_RACK_COST: f64 = 0.5;
    let until_objective_ms = requirements.until_objective_ms.max(1.0);
    let run_ms = requirements.expected_ms / speed;
    let risk = if run_ms * RUN_TIME_MARGIN > until_objective_ms { MISS_COST } else { 0.0 };
    let far = if is_near { 0.0 } else { OTHER_ZONE_COST };
    let shared = if is_shared { SHARED_GAIN } else { 0.0 };
    let off_rack = if is_on_rack { 0.0 } else { OTHER_RACK_COST };
    run_ms / until_objective_ms + risk + far - shared + off_rack
}
