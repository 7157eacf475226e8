//! Ends of jobs.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    AttemptId, JobOutcome, RefusalReason, ToAgent,
    dispatcher::{AgentKey, Dispatcher, DispatcherEffect, JobKey},
};

impl Dispatcher {
    /// Ends a job whose client's time is over.
    pub(crate) fn end_unfinished(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        let end = if state.may_have_run() {
            JobOutcome::TimedOut
        } else {
            self.refusal(RefusalReason::Overloaded)
        };
        self.answer(key, end, effects);
    }

    pub(crate) fn answer(
        &mut self,
        key: JobKey,
        end: JobOutcome,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        for waiter in self.remove_job(key, effects) {
            effects.push(DispatcherEffect::Answer(waiter, end));
        }
    }

    /// Removes a job and stops what is under way for it.
    pub(crate) fn remove_job(
        &mut self,
        key: JobKey,
        effects: &mut Vec<DispatcherEffect>,
    ) -> Vec<JobKey> {
        let Some(state) = self.jobs.swap_remove(&key) else { return Vec::new() };
        self.queue.remove(&(state.job.priority, key));
        self.by_id.swap_remove(state.id());
        if state.under_way > 0 {
            *self.ending.entry(Arc::clone(state.id())).or_insert(0) += state.under_way;
            let mut stops: IndexMap<AgentKey, Vec<AttemptId>> = IndexMap::new();
            for (id, attempt) in self.attempts.iter().filter(|(_, attempt)| attempt.job == key) {
                stops.entry(attempt.agent).or_default().push(*id);
            }
            let send = |(agent, ids)| DispatcherEffect::Send(agent, ToAgent::Stop(ids));
            effects.extend(stops.into_iter().map(send));
        }
        state.waiters
    }
}
