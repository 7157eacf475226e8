//! Effects of the outcomes of attempts on jobs and on the health of upstreams.

use std::sync::Arc;

use crate::{
    AttemptId, AttemptOutcome, JobOutcome,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, LossCause, OutstandingAttempt, refusals::Refusals,
    },
};

impl Dispatcher {
    /// Settles all attempts at an agent as lost.
    pub(crate) fn presume_lost(
        &mut self,
        key: AgentKey,
        cause: LossCause,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let ids: Vec<AttemptId> = self.agents[key.0 as usize].attempts.iter().copied().collect();
        for id in ids {
            if let Some(attempt) = self.attempts.get(&id) {
                effects.push(DispatcherEffect::PresumedLost {
                    task: attempt.task(),
                    agent: key,
                    attempt: id,
                    cause,
                });
            }
            self.settle(id, AttemptOutcome::Lost, now_ms, &mut effects);
        }
        effects.extend(self.dispatch_queued(now_ms));
        effects
    }

    /// Applies the outcome of an attempt: answers the job, or queues the task again if it may be
    /// retried.
    pub(crate) fn settle(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(attempt) = self.attempts.swap_remove(&id) else { return };
        let view = &mut self.agents[attempt.agent.0 as usize];
        view.attempts.swap_remove(&id);
        if outcome == AttemptOutcome::NotStarted {
            view.release(id);
        }
        if attempt.is_contest {
            self.contention.record(outcome != AttemptOutcome::NotStarted);
        }
        self.update_health(&attempt, outcome, now_ms, effects);
        let Some(state) = self.jobs.get_mut(&attempt.job) else {
            self.on_stopped_attempt(&attempt.job_name, effects);
            return;
        };
        state.outstanding -= 1;
        state.has_run |= !matches!(outcome, AttemptOutcome::NotStarted | AttemptOutcome::Unhealthy);
        match outcome {
            AttemptOutcome::Done { run_ms } => {
                state.steps[usize::from(attempt.step)].unfinished -= 1;
                let is_done = state.is_done();
                let has_next = state.eligible_steps().next().is_some();
                let place = state.queue_place(attempt.job);
                self.learn_run_time(&attempt, run_ms, now_ms);
                if is_done {
                    self.answer(attempt.job, JobOutcome::Succeeded, effects);
                    return;
                }
                if has_next {
                    self.queue.insert(place);
                }
                self.wait_for_others(attempt.job, now_ms);
                self.yield_claim(attempt.job, effects);
                return;
            }
            AttemptOutcome::Failed => {
                let history = state.histories.entry((attempt.step, attempt.index)).or_default();
                history.failures += 1;
                history.avoided.push(attempt.agent);
                if history.failures >= state.job.max_attempts {
                    self.answer(attempt.job, JobOutcome::Failed, effects);
                    return;
                }
            }
            AttemptOutcome::Crashed => {
                let history = state.histories.entry((attempt.step, attempt.index)).or_default();
                history.crashes += 1;
            }
            AttemptOutcome::Unhealthy => {
                let history = state.histories.entry((attempt.step, attempt.index)).or_default();
                history.avoided.push(attempt.agent);
            }
            AttemptOutcome::NotStarted => self.record_refusal(&attempt, now_ms),
            AttemptOutcome::Stopped | AttemptOutcome::Lost => {}
        }
        let Some(state) = self.jobs.get_mut(&attempt.job) else { return };
        state.steps[usize::from(attempt.step)].pending.push(attempt.index);
        self.queue.insert(state.queue_place(attempt.job));
        self.wait_for_others(attempt.job, now_ms);
        self.yield_claim(attempt.job, effects);
    }

    /// Records that an agent has refused a task, which then waits before it is sent there again.
    fn record_refusal(&mut self, attempt: &OutstandingAttempt, now_ms: u64) {
        let Some(state) = self.jobs.get(&attempt.job) else { return };
        let expected_ms = self.requirements(state, attempt.step, now_ms).expected_ms;
        let spare_ms = state.spare_ms(expected_ms, now_ms);
        let Some(state) = self.jobs.get_mut(&attempt.job) else { return };
        let history = state.histories.entry((attempt.step, attempt.index)).or_default();
        Refusals::record(&mut history.refusals, attempt.agent, spare_ms, now_ms);
    }

    /// Updates the health of the upstream that an attempt was sent to. At most half of the
    /// upstreams that are not evacuated are ejected at a time.
    fn update_health(
        &mut self,
        attempt: &OutstandingAttempt,
        outcome: AttemptOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let usable = || self.agents.iter().filter(|view| !view.is_evacuated);
        let ejected = usable().filter(|view| view.health.is_suspect()).count();
        let may_eject = (ejected + 1) * 2 <= usable().count();
        let view = &mut self.agents[attempt.agent.0 as usize];
        let is_ejected = match outcome {
            AttemptOutcome::Done { .. } if view.health.record_success() => false,
            AttemptOutcome::Failed | AttemptOutcome::Unhealthy
                if (may_eject || view.health.is_suspect())
                    && view.health.record_failure(attempt.job, now_ms) =>
            {
                true
            }
            _ => return,
        };
        effects
            .push(DispatcherEffect::EjectionChanged { agent: Arc::clone(&view.name), is_ejected });
    }
}
