//! Answers to jobs, and removal of answered jobs.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    AttemptId, JobOutcome, RefusalReason, TaskId, ToAgent,
    dispatcher::{
        Admission, AgentKey, Dispatcher, DispatcherEffect, JobKey, WithdrawalCause,
        job_state::JobState,
    },
};

impl Dispatcher {
    /// Answers a job whose caller's timeout is about to expire.
    pub(crate) fn answer_at_deadline(
        &mut self,
        key: JobKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get(&key) else { return };
        let outcome = if state.may_have_run() {
            JobOutcome::TimedOut
        } else {
            self.overload_refusal(key, now_ms)
        };
        self.answer(key, outcome, effects);
    }

    /// Answers every job, because the process ends: those of which a task may have started get no
    /// outcome, and the others are refused. Further submissions are refused.
    pub fn answer_all(&mut self) -> Vec<DispatcherEffect> {
        self.set_admission(Admission::Closed(RefusalReason::Stopping));
        let mut effects = Vec::new();
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            let may_have_run = self.jobs.get(&key).is_some_and(JobState::may_have_run);
            let outcome = if may_have_run {
                JobOutcome::TimedOut
            } else {
                self.refusal(RefusalReason::Stopping)
            };
            self.answer(key, outcome, &mut effects);
        }
        effects
    }

    /// Answers all submissions of a job and removes it.
    pub(crate) fn answer(
        &mut self,
        key: JobKey,
        outcome: JobOutcome,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let cause = match outcome {
            JobOutcome::Cancelled => WithdrawalCause::Cancelled,
            _ => WithdrawalCause::Answered,
        };
        for waiter in self.remove_job(key, cause, Some(outcome), effects) {
            effects.push(DispatcherEffect::Answer(waiter, outcome));
        }
    }

    /// Removes a job, which has an outcome unless nobody waits for it, and stops its outstanding
    /// attempts. Returns the submissions that wait for it.
    pub(crate) fn remove_job(
        &mut self,
        key: JobKey,
        cause: WithdrawalCause,
        outcome: Option<JobOutcome>,
        effects: &mut Vec<DispatcherEffect>,
    ) -> Vec<JobKey> {
        let Some(state) = self.jobs.swap_remove(&key) else { return Vec::new() };
        self.queue.remove(&state.queue_place(key));
        self.by_name.swap_remove(state.name());
        self.lookahead.forget(key);
        self.end_claim(key, &state, outcome, effects);
        if state.outstanding > 0 {
            self.stop_attempts(key, cause, effects);
        }
        state.waiters
    }

    /// Stops the outstanding attempts of a job.
    pub(crate) fn stop_attempts(
        &mut self,
        key: JobKey,
        cause: WithdrawalCause,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let mut stops: IndexMap<AgentKey, (Vec<AttemptId>, Vec<TaskId>)> = IndexMap::new();
        for (id, attempt) in &mut self.attempts {
            if attempt.job != key {
                continue;
            }
            attempt.is_withdrawn = true;
            let (ids, tasks) = stops.entry(attempt.agent).or_default();
            ids.push(*id);
            tasks.push(attempt.task());
        }
        for (agent, (attempts, tasks)) in stops {
            let Some(job) = tasks.first().map(|task| Arc::clone(&task.job)) else { continue };
            let stop = ToAgent::Stop(attempts.clone());
            effects.push(DispatcherEffect::Withdrawn { job, agent, attempts, tasks, cause });
            effects.push(DispatcherEffect::Send(agent, stop));
        }
    }
}
