//! What is made of the outcomes of orders.

use std::sync::Arc;

use crate::{
    JobEnd, OrderId, OrderOutcome,
    dispatcher::{AgentKey, Dispatcher, DispatcherEffect, OrderState},
};

impl Dispatcher {
    pub(crate) fn settle_all(
        &mut self,
        key: AgentKey,
        outcome: OrderOutcome,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let ids: Vec<OrderId> = self.agents[key.0 as usize].orders.iter().copied().collect();
        for id in ids {
            self.settle(id, outcome, now_ms, &mut effects);
        }
        effects.extend(self.pump(now_ms));
        effects
    }

    /// Takes the outcome of an order.
    pub(crate) fn settle(
        &mut self,
        id: OrderId,
        outcome: OrderOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(order) = self.orders.swap_remove(&id) else { return };
        let view = &mut self.agents[order.agent.0 as usize];
        view.orders.swap_remove(&id);
        self.judge(&order, outcome, now_ms, effects);
        let Some(state) = self.jobs.get_mut(&order.job) else {
            if let Some(count) = self.ending.get_mut(&order.id) {
                *count -= 1;
                if *count == 0 {
                    self.ending.swap_remove(&order.id);
                }
            }
            return;
        };
        state.under_way -= 1;
        state.has_run |= !matches!(outcome, OrderOutcome::NotStarted | OrderOutcome::Unhealthy);
        match outcome {
            OrderOutcome::Done { run_ms } => {
                state.steps[usize::from(order.step)].open -= 1;
                let is_done = state.is_done();
                let has_next = state.eligible_steps().next().is_some();
                let priority = state.job.priority;
                self.learn(&order, run_ms);
                if is_done {
                    self.answer(order.job, JobEnd::Succeeded, effects);
                } else if has_next {
                    self.queue.insert((priority, order.job));
                }
                return;
            }
            OrderOutcome::Failed => {
                let history = state.histories.entry((order.step, order.index)).or_default();
                history.failures += 1;
                history.avoided.push(order.agent);
                if history.failures >= state.job.max_attempts {
                    self.answer(order.job, JobEnd::Failed, effects);
                    return;
                }
            }
            OrderOutcome::Unhealthy => {
                let history = state.histories.entry((order.step, order.index)).or_default();
                history.avoided.push(order.agent);
            }
            OrderOutcome::NotStarted | OrderOutcome::Stopped | OrderOutcome::Lost => {}
        }
        let Some(state) = self.jobs.get_mut(&order.job) else { return };
        state.steps[usize::from(order.step)].pending.push(order.index);
        self.queue.insert((state.job.priority, order.job));
    }

    fn judge(
        &mut self,
        order: &OrderState,
        outcome: OrderOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let ejected = self.agents.iter().filter(|view| view.health.is_suspect()).count();
        let may_eject = (ejected + 1) * 2 <= self.agents.len();
        let view = &mut self.agents[order.agent.0 as usize];
        let is_ejected = match outcome {
            OrderOutcome::Done { .. } if view.health.succeeded() => false,
            OrderOutcome::Failed | OrderOutcome::Unhealthy
                if (may_eject || view.health.is_suspect())
                    && view.health.failed(order.job, now_ms) =>
            {
                true
            }
            _ => return,
        };
        effects.push(DispatcherEffect::Judged { agent: Arc::clone(&view.name), is_ejected });
    }

    fn learn(&mut self, order: &OrderState, run_ms: u32) {
        let Some(state) = self.jobs.get(&order.job) else { return };
        let declared = f64::from(state.job.steps[usize::from(order.step)].estimate_ms.max(1));
        let actual = f64::from(run_ms.max(1));
        let view = &mut self.agents[order.agent.0 as usize];
        let kind = self.kinds.entry(Arc::clone(&state.job.kind)).or_default();
        let log = (declared * kind.value() / actual).ln();
        kind.observe((actual * view.speed.value() / declared).ln());
        view.speed.observe(log);
    }
}
