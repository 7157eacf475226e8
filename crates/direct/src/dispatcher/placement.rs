//! Placement of queued tasks on agents.

use std::sync::Arc;

use indexmap::IndexMap;
use types::Resources;

use crate::{
    Attempt, AttemptBatch, AttemptId, RefusalReason, ToAgent,
    dispatcher::{
        Admission, AgentKey, Dispatcher, DispatcherEffect, JobKey, OutstandingAttempt,
        agent_choice::{NoAgent, Placing, TaskRequirements},
        agent_view::AgentView,
        crash_ledger::Suspicion,
        job_state::JobState,
        refusals::RefusalWait,
    },
};

/// Assignment of the tasks of one step to agents.
pub(crate) struct StepPlan {
    pub(crate) tasks_by_agent: IndexMap<AgentKey, Vec<u32>>,
    /// Tasks for which there is no agent, the next one to start last.
    pub(crate) unplaced: Vec<u32>,
    /// Whether no agent has the capacity for one more task.
    is_full: bool,
}

impl Dispatcher {
    /// Sends queued tasks to agents with free capacity, the most urgent jobs first, and refuses
    /// jobs that have waited too long without a start. Does nothing while a suspension closes
    /// admission: callers may have left during it, and the ends of their connections are still
    /// unread.
    pub(crate) fn dispatch_queued(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        if self.admission == Admission::Closed(RefusalReason::Suspended) {
            return effects;
        }
        self.begin_look_ahead_round(now_ms);
        if self.queue.is_empty() {
            self.backlog.record(false, now_ms);
            self.lookahead.end_round();
            return effects;
        }
        let keys: Vec<JobKey> = self.queue.iter().map(|(.., key)| *key).collect();
        let mut free = self.max_free(now_ms);
        let mut unplaced = Vec::new();
        let mut is_overloaded = false;
        let is_brief = self.backlog.is_brief(now_ms);
        for key in keys {
            let Some(state) = self.jobs.get(&key) else { continue };
            // A job whose time has run out is answered by the next `tick`; its caller may already
            // have resubmitted it.
            if state.is_held()
                || state.claim.is_open()
                || self.stopping_jobs.contains_key(state.name())
                || state.is_expired(now_ms)
                || self.is_withheld(state)
            {
                continue;
            }
            let is_confined = self.is_confined(state, now_ms);
            let is_late = state.is_late && !state.may_have_run();
            let refusal_wait = state.refusal_wait(is_brief, now_ms);
            let is_placed = if !state.min_need().fits_in(free) {
                false
            } else if is_late {
                // Late jobs come last, so `unplaced` holds all jobs that can still be in time.
                unplaced.is_empty()
                    && self.has_spare_capacity(now_ms)
                    && self.place_late(key, refusal_wait, now_ms, &mut effects)
            } else {
                self.place_job(key, now_ms, &mut effects)
                    || self.place_probe(key, now_ms, &mut effects)
            };
            if is_placed {
                free = self.max_free(now_ms);
            }
            if !is_late {
                let next = self.jobs.get(&key).and_then(|state| state.eligible_steps().next());
                is_overloaded |= next.is_some() && !is_confined;
                unplaced.extend(next.map(|step| (key, step)));
            }
            if self.start_late_or_refuse(key, is_brief, now_ms, &mut effects) {
                free = self.max_free(now_ms);
            }
            if !is_late {
                self.reserve_for(key, now_ms);
            }
        }
        self.backlog.record(is_overloaded, now_ms);
        self.lookahead.end_round();
        if !unplaced.is_empty() {
            self.widen_for(&unplaced, now_ms, &mut effects);
        }
        effects
    }

    /// Starts a job late, or refuses it, once it has waited long enough without a start. Returns
    /// whether it sent tasks.
    fn start_late_or_refuse(
        &mut self,
        key: JobKey,
        is_overload_brief: bool,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) -> bool {
        let Some(state) = self.jobs.get(&key) else { return false };
        if state.may_have_run() {
            return false;
        }
        if self.needs_evacuated(&state.job) {
            let outcome = self.refusal(RefusalReason::NoUpstream);
            self.answer(key, outcome, effects);
            return false;
        }
        if now_ms < state.refuse_at_ms {
            return false;
        }
        let refuse_at_ms = state.refusal_ms(is_overload_brief);
        let refusal_wait = state.refusal_wait(is_overload_brief, now_ms);
        let has_agents = self.agents_of(&state.job.pool).any(|(_, view)| !view.is_evacuated);
        if !state.is_late && self.place_late(key, refusal_wait, now_ms, effects) {
            return true;
        }
        if now_ms >= refuse_at_ms && !self.may_still_start(key, now_ms) {
            let outcome = if has_agents {
                self.overload_refusal(key, now_ms)
            } else {
                self.refusal(RefusalReason::NoUpstream)
            };
            self.answer(key, outcome, effects);
        }
        false
    }

    /// Returns whether agents are still connecting to this entry and a task of the job that starts
    /// soon would end while its answer has value.
    fn may_still_start(&self, key: JobKey, now_ms: u64) -> bool {
        let Some(state) = self.jobs.get(&key).filter(|_| self.assembly.is_ongoing(now_ms)) else {
            return false;
        };
        state.eligible_steps().next().is_some_and(|step| {
            let requirements = self.late_requirements(state, step, now_ms);
            requirements.expected_ms < requirements.max_expected_ms
        })
    }

    /// Returns the maximum free capacity over the open agents, for each resource separately.
    fn max_free(&self, now_ms: u64) -> Resources {
        let silence_ms = self.timing.silence_ms;
        let views = self.active_agents().map(|(_, view)| view);
        let open = views.filter(|view| view.is_open(now_ms, silence_ms));
        open.map(AgentView::free).fold(Resources::default(), Resources::max_each)
    }

    /// Sends as many of a job's tasks as there is capacity for; returns whether it sent any.
    fn place_job(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) -> bool {
        let before = effects.len();
        let Some(state) = self.jobs.get(&key) else { return false };
        let steps: Vec<u16> = state.eligible_steps().collect();
        for step in steps {
            self.place_step(key, step, now_ms, effects);
        }
        self.dequeue_if_placed(key);
        effects.len() > before
    }

    /// Removes a job from the queue if it has no task to start now.
    fn dequeue_if_placed(&mut self, key: JobKey) {
        let Some(state) = self.jobs.get(&key) else { return };
        if state.eligible_steps().next().is_none() {
            let place = state.queue_place(key);
            self.queue.remove(&place);
        }
    }

    /// Sends all tasks of the first step that can start now to agents where each can still end
    /// while the answer has value; sends none if any task has no such agent. Returns whether it
    /// sent them. Other steps follow as capacity becomes free.
    fn place_late(
        &mut self,
        key: JobKey,
        refusal_wait: RefusalWait,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) -> bool {
        let Some(state) = self.jobs.get(&key) else { return false };
        let Some(step) = state.eligible_steps().next() else { return false };
        let requirements =
            TaskRequirements { refusal_wait, ..self.late_requirements(state, step, now_ms) };
        self.place_whole_step(key, step, &requirements, effects)
    }

    /// Sends all tasks of a step, or none if any task has no agent. Returns whether it sent them.
    pub(crate) fn place_whole_step(
        &mut self,
        key: JobKey,
        step: u16,
        requirements: &TaskRequirements,
        effects: &mut Vec<DispatcherEffect>,
    ) -> bool {
        let Some(state) = self.jobs.get(&key) else { return false };
        let plan = self.plan_step(key, state, step, requirements);
        if plan.is_full {
            self.lookahead.record_full(&state.job.pool, requirements);
        }
        if !plan.unplaced.is_empty() {
            return false;
        }
        self.send_attempts(key, step, plan, requirements.now_ms, effects);
        self.dequeue_if_placed(key);
        true
    }

    /// Sends as many tasks of a step as there is capacity for.
    fn place_step(
        &mut self,
        key: JobKey,
        step: u16,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let state = &self.jobs[&key];
        let requirements = self.requirements(state, step, now_ms);
        let plan = self.plan_step(key, state, step, &requirements);
        if plan.is_full {
            self.lookahead.record_full(&state.job.pool, &requirements);
        }
        self.send_attempts(key, step, plan, now_ms, effects);
    }

    /// Chooses an agent for each pending task of a step.
    pub(crate) fn plan_step(
        &self,
        key: JobKey,
        state: &JobState,
        step: u16,
        requirements: &TaskRequirements,
    ) -> StepPlan {
        let mut placing = self.placing(key, state, step, requirements);
        placing.usable_milli_cores = self.usable_milli_cores(state, requirements);
        let mut planned: Vec<(AgentKey, u32)> = Vec::new();
        let mut plan =
            StepPlan { tasks_by_agent: IndexMap::new(), unplaced: Vec::new(), is_full: false };
        let mut is_exhausted = self.lookahead.is_full(&state.job.pool, requirements);
        for &task in state.steps[usize::from(step)].pending.iter().rev() {
            let agent = if is_exhausted {
                None
            } else {
                let chosen = self.choose_agent(&placing, task, &planned);
                plan.is_full |= chosen == Err(NoAgent::Full);
                chosen.ok()
            };
            let Some(agent) = agent else {
                is_exhausted |= self.has_no_room(&placing, task, &planned);
                plan.unplaced.push(task);
                continue;
            };
            match planned.iter_mut().find(|(known, _)| *known == agent) {
                Some((_, count)) => *count += 1,
                None => planned.push((agent, 1)),
            }
            plan.tasks_by_agent.entry(agent).or_default().push(task);
        }
        plan.unplaced.reverse();
        plan
    }

    /// Returns whether a task for which no agent was chosen shows that there is none for the other
    /// tasks of its step. These differ only in the agents that they avoid or that have refused them.
    fn has_no_room(&self, placing: &Placing, task: u32, planned: &[(AgentKey, u32)]) -> bool {
        let Placing { state, step_index, .. } = *placing;
        let requirements =
            TaskRequirements { refusal_wait: RefusalWait::Skipped, ..placing.requirements };
        let without_wait = Placing { requirements, ..*placing };
        state.avoids_no_agent(step_index, task)
            && (state.refusals(step_index, task).is_empty()
                || self.choose_agent(&without_wait, task, planned).is_err())
    }

    /// Sends the tasks of a plan to their agents and charges these for them; the rest stay pending.
    fn send_attempts(
        &mut self,
        key: JobKey,
        step: u16,
        plan: StepPlan,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get(&key) else { return };
        let need = state.job.steps[usize::from(step)].need;
        let place = state.queue_place(key);
        let expected_ms = self.expected_ms(state, step, now_ms);
        let is_suspect = self.suspicion(state) != Suspicion::None;
        let contests: Vec<AgentKey> =
            plan.tasks_by_agent.keys().copied().filter(|key| self.is_contest(*key, need)).collect();
        let is_reserved = |agent: &AgentKey| self.lookahead.has_reservation(*agent);
        let reserved: Vec<AgentKey> =
            plan.tasks_by_agent.keys().copied().filter(is_reserved).collect();
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let task_work =
            f64::from(need.milli_cores) * f64::from(state.job.steps[usize::from(step)].estimate_ms);
        state.steps[usize::from(step)].pending = plan.unplaced;
        for (agent, tasks) in plan.tasks_by_agent {
            let is_contest = contests.contains(&agent);
            #[allow(clippy::cast_precision_loss)]
            let work = task_work * tasks.len() as f64;
            self.containment.record_start(&state.job.kind, &state.job.pool, work, now_ms);
            let is_cold = self.agents[agent.0 as usize].is_cold();
            let mut attempts = Vec::with_capacity(tasks.len());
            let expected_end = self
                .lookahead
                .expect_end(now_ms, expected_ms / self.agents[agent.0 as usize].speed.value());
            for index in tasks {
                let id = AttemptId(self.next_attempt);
                self.next_attempt += 1;
                let history = state.histories.entry((step, index)).or_default();
                history.runs += 1;
                state.outstanding += 1;
                attempts.push(Attempt { id, index, run: history.runs });
                let attempt = OutstandingAttempt {
                    job: key,
                    job_name: state.name().clone(),
                    step,
                    index,
                    agent,
                    is_contest,
                    is_suspect,
                    is_cold,
                    is_withdrawn: false,
                    need,
                    expected_end,
                };
                self.attempts.insert(id, attempt);
                self.agents[agent.0 as usize].attempts.insert(id);
            }
            let ids = attempts.iter().map(|attempt| attempt.id).collect();
            self.agents[agent.0 as usize].charge(need, ids);
            self.lookahead.record_starts(place, agent, attempts.len());
            let payload = Arc::clone(&state.job.payload);
            let batch = AttemptBatch {
                job: Arc::clone(&state.job.id),
                kind: Arc::clone(&state.job.kind),
                is_suspect,
                step,
                payload,
                need,
                attempts,
            };
            effects.push(DispatcherEffect::Send(agent, ToAgent::Start(batch)));
        }
        for agent in reserved {
            self.update_slack(agent, now_ms);
        }
    }
}
