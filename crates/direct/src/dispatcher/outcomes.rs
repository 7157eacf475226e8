//! What is made of the outcomes of orders.

use std::sync::Arc;

use crate::{
    AttemptId, AttemptOutcome, JobOutcome,
    dispatcher::{AgentKey, Dispatcher, DispatcherEffect, OutstandingAttempt},
};

impl Dispatcher {
    pub(crate) fn settle_all(
        &mut self,
        key: AgentKey,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let ids: Vec<AttemptId> = self.agents[key.0 as usize].attempts.iter().copied().collect();
        for id in ids {
            self.settle(id, outcome, now_ms, &mut effects);
        }
        effects.extend(self.pump(now_ms));
        effects
    }

    /// Takes the outcome of an order.
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
        self.judge(&attempt, outcome, now_ms, effects);
        let Some(state) = self.jobs.get_mut(&attempt.job) else {
            if let Some(count) = self.ending.get_mut(&attempt.id) {
                *count -= 1;
                if *count == 0 {
                    self.ending.swap_remove(&attempt.id);
                }
            }
            return;
        };
        state.under_way -= 1;
        state.has_run |= !matches!(outcome, AttemptOutcome::NotStarted | AttemptOutcome::Unhealthy);
        match outcome {
            AttemptOutcome::Done { run_ms } => {
                state.steps[usize::from(attempt.step)].open -= 1;
                let is_done = state.is_done();
                let has_next = state.eligible_steps().next().is_some();
                let priority = state.job.priority;
                self.learn(&attempt, run_ms);
                if is_done {
                    self.answer(attempt.job, JobOutcome::Succeeded, effects);
                } else if has_next {
                    self.queue.insert((priority, attempt.job));
                }
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
            AttemptOutcome::Unhealthy => {
                let history = state.histories.entry((attempt.step, attempt.index)).or_default();
                history.avoided.push(attempt.agent);
            }
            AttemptOutcome::NotStarted | AttemptOutcome::Stopped | AttemptOutcome::Lost => {}
        }
        let Some(state) = self.jobs.get_mut(&attempt.job) else { return };
        state.steps[usize::from(attempt.step)].pending.push(attempt.index);
        self.queue.insert((state.job.priority, attempt.job));
    }

    fn judge(
        &mut self,
        attempt: &OutstandingAttempt,
        outcome: AttemptOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let ejected = self.agents.iter().filter(|view| view.health.is_suspect()).count();
        let may_eject = (ejected + 1) * 2 <= self.agents.len();
        let view = &mut self.agents[attempt.agent.0 as usize];
        let is_ejected = match outcome {
            AttemptOutcome::Done { .. } if view.health.succeeded() => false,
            AttemptOutcome::Failed | AttemptOutcome::Unhealthy
                if (may_eject || view.health.is_suspect())
                    && view.health.failed(attempt.job, now_ms) =>
            {
                true
            }
            _ => return,
        };
        effects
            .push(DispatcherEffect::EjectionChanged { agent: Arc::clone(&view.name), is_ejected });
    }

    fn learn(&mut self, attempt: &OutstandingAttempt, run_ms: u32) {
        let Some(state) = self.jobs.get(&attempt.job) else { return };
        let declared = f64::from(state.job.steps[usize::from(attempt.step)].estimate_ms.max(1));
        let actual = f64::from(run_ms.max(1));
        let view = &mut self.agents[attempt.agent.0 as usize];
        let kind = self.kinds.entry(Arc::clone(&state.job.kind)).or_default();
        let log = (declared * kind.value() / actual).ln();
        kind.observe((actual * view.speed.value() / declared).ln());
        view.speed.observe(log);
    }
}
