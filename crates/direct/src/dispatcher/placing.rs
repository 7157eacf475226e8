//! Orders for tasks that wait.

use std::sync::Arc;

use indexmap::IndexMap;
use types::Resources;

use crate::{
    Attempt, AttemptBatch, AttemptId, RefusalReason, ToAgent,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, JobKey, OutstandingAttempt, agent_view::AgentView,
        choice::Want, job_state::JobState,
    },
};

/// Where the tasks of a step are to start.
struct Plan {
    chosen: IndexMap<AgentKey, Vec<u32>>,
    /// Tasks without a place, the next one last.
    left: Vec<u32>,
}

impl Dispatcher {
    /// Orders what there is room for, most urgent first, and refuses what has waited too long.
    pub(crate) fn pump(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let keys: Vec<JobKey> = self.queue.iter().map(|(_, key)| *key).collect();
        let mut room = self.room(now_ms);
        for key in keys {
            let Some(state) = self.jobs.get(&key) else { continue };
            if self.ending.contains_key(state.id()) {
                continue;
            }
            if state.least_need().fits_in(room) && self.place(key, now_ms, &mut effects) {
                room = self.room(now_ms);
            }
            let Some(state) = self.jobs.get(&key) else { continue };
            if !state.may_have_run() && now_ms >= state.refuse_at_ms {
                if self.place_late(key, now_ms, &mut effects) {
                    room = self.room(now_ms);
                    continue;
                }
                let Some(state) = self.jobs.get(&key) else { continue };
                let is_served = self.agents_of(&state.job.pool).next().is_some();
                let reason =
                    if is_served { RefusalReason::Overloaded } else { RefusalReason::NoUpstream };
                let end = self.refusal(reason);
                self.answer(key, end, &mut effects);
            }
        }
        effects
    }

    /// Returns the most that is free anywhere, in each dimension by itself.
    fn room(&self, now_ms: u64) -> Resources {
        let silence_ms = self.timing.silence_ms;
        let open = self.agents.iter().filter(|view| view.is_open(now_ms, silence_ms));
        open.map(AgentView::free).fold(Resources::default(), Resources::max_each)
    }

    /// Orders as many of a job's tasks as there is room for; returns whether it ordered any.
    fn place(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) -> bool {
        let before = effects.len();
        let Some(state) = self.jobs.get(&key) else { return false };
        let steps: Vec<u16> = state.eligible_steps().collect();
        for step in steps {
            self.place_step(key, step, now_ms, effects);
        }
        self.unqueue_placed(key);
        effects.len() > before
    }

    /// Takes a job from the queue that has no task to start now.
    fn unqueue_placed(&mut self, key: JobKey) {
        let Some(state) = self.jobs.get(&key) else { return };
        if state.eligible_steps().next().is_none() {
            self.queue.remove(&(state.job.priority, key));
        }
    }

    /// Orders all tasks of the first step that can start now, where each can still end before the
    /// answer is worth nothing; orders none if one has no such place. Other steps follow as there
    /// is room.
    fn place_late(
        &mut self,
        key: JobKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) -> bool {
        let Some(state) = self.jobs.get(&key) else { return false };
        let Some(step) = state.eligible_steps().next() else { return false };
        let want = self.want_late(state, &state.job.steps[usize::from(step)], now_ms);
        let plan = self.plan_step(state, step, &want);
        if !plan.left.is_empty() {
            return false;
        }
        self.send_attempts(key, step, plan, effects);
        self.unqueue_placed(key);
        true
    }

    fn place_step(
        &mut self,
        key: JobKey,
        step: u16,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let state = &self.jobs[&key];
        let want = self.want(state, &state.job.steps[usize::from(step)], now_ms);
        let plan = self.plan_step(state, step, &want);
        self.send_attempts(key, step, plan, effects);
    }

    fn plan_step(&self, state: &JobState, step: u16, want: &Want) -> Plan {
        let mut taken: Vec<(AgentKey, u32)> = Vec::new();
        let mut plan = Plan { chosen: IndexMap::new(), left: Vec::new() };
        for &task in state.steps[usize::from(step)].pending.iter().rev() {
            let Some(agent) = self.choose(state, step, task, want, &taken) else {
                plan.left.push(task);
                continue;
            };
            match taken.iter_mut().find(|(known, _)| *known == agent) {
                Some((_, count)) => *count += 1,
                None => taken.push((agent, 1)),
            }
            plan.chosen.entry(agent).or_default().push(task);
        }
        plan.left.reverse();
        plan
    }

    fn send_attempts(
        &mut self,
        key: JobKey,
        step: u16,
        plan: Plan,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let need = state.job.steps[usize::from(step)].need;
        state.steps[usize::from(step)].pending = plan.left;
        for (agent, tasks) in plan.chosen {
            let mut attempts = Vec::with_capacity(tasks.len());
            for index in tasks {
                let id = AttemptId(self.next_attempt);
                self.next_attempt += 1;
                let history = state.histories.entry((step, index)).or_default();
                history.runs += 1;
                state.under_way += 1;
                attempts.push(Attempt { id, index, run: history.runs });
                let attempt = OutstandingAttempt {
                    job: key,
                    id: Arc::clone(&state.job.id),
                    step,
                    index,
                    agent,
                };
                self.attempts.insert(id, attempt);
                self.agents[agent.0 as usize].attempts.insert(id);
            }
            let charge =
                attempts.iter().fold(Resources::default(), |sum, _| sum.saturating_add(need));
            self.agents[agent.0 as usize].charge(charge);
            let payload = Arc::clone(&state.job.payload);
            let batch =
                AttemptBatch { job: Arc::clone(&state.job.id), step, payload, need, attempts };
            effects.push(DispatcherEffect::Send(agent, ToAgent::Start(batch)));
        }
    }
}
