//! What an entry does about jobs that crash upstreams.

use std::sync::Arc;

use crate::{
    CrashNotice, JobName, JobOutcome, Suspect,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, JobKey, crash_ledger::Suspicion,
        job_state::JobState,
    },
};

/// Number of crashes that a task may share before it is not started again. Its job is not answered
/// as failed, because sharing a crash proves nothing; it is answered when its caller's time is up.
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
                        self.on_crash(agent, now_ms, effects);
                    }
                }
            }
        }
    }

    /// Acts on the latest crash in the ledger.
    fn on_crash(&mut self, agent: AgentKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let mut jobs: Vec<JobName> = Vec::new();
        for name in self.crashes.last_suspects().iter().map(Suspect::job_name) {
            if !jobs.contains(&name) {
                jobs.push(name);
            }
        }
        let before = self.containment.contained(now_ms);
        let kinds: Vec<Arc<str>> = jobs.iter().map(|name| Arc::clone(&name.queue)).collect();
        if let Some(upstream) = &self.agents[agent.0 as usize].upstream {
            self.containment.record_crash(&upstream.pool, &kinds, now_ms);
        }
        for name in &jobs {
            if self.crashes.suspicion(name) == Suspicion::Proven {
                self.containment.record_proof(&name.queue, now_ms);
            }
            let upstream = self.agents[agent.0 as usize].upstream.as_ref();
            if let Some(pool) = upstream.map(|upstream| Arc::clone(&upstream.pool)) {
                self.choose_members(&name.queue, &pool);
            }
        }
        let contained = self.containment.contained(now_ms);
        let new = contained.into_iter().filter(|kind| !before.contains(kind));
        effects.extend(new.map(|kind| DispatcherEffect::Contained { kind }));
        for name in jobs {
            if let Some(key) = self.by_name.get(&name).copied() {
                self.give_up_if_proven(key, effects);
            }
        }
    }

    /// Chooses the upstreams for the suspected jobs of a kind out of a pool.
    pub(crate) fn choose_members(&mut self, kind: &str, pool: &str) {
        let pool: Vec<(AgentKey, Arc<str>)> = self
            .agents_of(pool)
            .filter(|(_, view)| view.is_connected && !view.is_evacuated)
            .map(|(key, view)| (key, Arc::clone(&view.name)))
            .collect();
        self.containment.choose_members(kind, &pool);
    }

    /// Returns what the crashes say about a job: those that its agents have attributed to it, and
    /// those that its tasks have shared.
    pub(crate) fn suspicion(&self, state: &JobState) -> Suspicion {
        match self.crashes.suspicion(state.name()) {
            Suspicion::None if state.shared_crashes() > 1 => Suspicion::Suspected,
            suspicion => suspicion,
        }
    }

    /// Returns whether a job is not started again, although it is not given up.
    pub(crate) fn is_withheld(&self, state: &JobState) -> bool {
        state.shared_crashes() >= MAX_SHARED_CRASHES
    }

    /// Returns whether a job's tasks start only on the upstreams of its kind's containment.
    pub(crate) fn is_confined(&self, state: &JobState, now_ms: u64) -> bool {
        self.containment.is_contained(&state.job.kind, now_ms)
            || self.crashes.suspicion(state.name()) != Suspicion::None
    }

    /// Answers a job as failed if it is proven to crash upstreams.
    fn give_up_if_proven(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        if self.suspicion(state) == Suspicion::Proven {
            let (tasks, kind) = (state.tasks.clone(), Arc::clone(&state.job.kind));
            effects.push(DispatcherEffect::GivenUp { tasks, kind });
            self.answer(key, JobOutcome::Failed, effects);
        }
    }
}
