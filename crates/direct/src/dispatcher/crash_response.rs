//! What an entry does about jobs that crash upstreams.

use std::sync::Arc;

use crate::{
    CrashNotice, JobOutcome,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, JobKey, crash_ledger::Suspicion,
        job_state::JobState,
    },
};

/// Number of crashes that a task may share before it is not started again. It is not given up,
/// because sharing a crash proves nothing: it may still be answered when other runs of it end.
const MAX_SHARED_CRASHES: u32 = 3;

impl Dispatcher {
    /// Applies an agent's news about crashes, and gives up the jobs that are proven to cause them.
    pub(crate) fn on_crash_notices(
        &mut self,
        agent: AgentKey,
        notices: Vec<CrashNotice>,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        for notice in notices {
            match notice {
                CrashNotice::Refuted(incarnation) => self.crashes.refute(agent, incarnation),
                CrashNotice::Crashed(crash) => {
                    if self.crashes.record(agent, crash, now_ms) {
                        self.on_crash(effects);
                    }
                }
            }
        }
    }

    /// Acts on the latest crash in the ledger.
    fn on_crash(&mut self, effects: &mut Vec<DispatcherEffect>) {
        let jobs = self.crashes.last_suspects().iter();
        let keys: Vec<JobKey> =
            jobs.filter_map(|suspect| self.by_id.get(&suspect.task.job).copied()).collect();
        for key in keys {
            self.give_up_if_proven(key, effects);
        }
    }

    /// Returns what the crashes say about a job: those that its agents have attributed to it, and
    /// those that its tasks have shared.
    pub(crate) fn suspicion(&self, state: &JobState) -> Suspicion {
        match self.crashes.suspicion(state.id()) {
            Suspicion::None if state.shared_crashes() > 1 => Suspicion::Suspected,
            suspicion => suspicion,
        }
    }

    /// Returns whether a job is not started again, although it is not given up.
    pub(crate) fn is_withheld(&self, state: &JobState) -> bool {
        state.shared_crashes() >= MAX_SHARED_CRASHES
    }

    /// Answers a job as failed if it is proven to crash upstreams.
    fn give_up_if_proven(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        if self.suspicion(state) == Suspicion::Proven {
            let (job, kind) = (Arc::clone(state.id()), Arc::clone(&state.job.kind));
            effects.push(DispatcherEffect::GivenUp { job, kind });
            self.answer(key, JobOutcome::Failed, effects);
        }
    }
}
