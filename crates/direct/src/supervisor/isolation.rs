//! Starts of suspected tasks on their own.
//!
//! Load pattern: several jobs have just started on an upstream when it crashes, and each of them may
//! be the cause. Starting them again side by side tells nothing new and may take down the next
//! upstream with as many runs. A suspected job therefore starts only when the latest start of
//! another one is too old to be the cause of a crash, and nothing else starts until the same holds
//! for its own.

use std::sync::Arc;

use crate::{
    AttemptBatch, StartRun,
    supervisor::{
        Supervisor, SupervisorEffect,
        crashes::SUSPECT_AGE_MS,
        run::{Phase, Run},
    },
};

types::plain! {
    /// The suspected job that has the upstream for its starts alone.
    #[derive(Eq)]
    pub(crate) struct Isolation {
        job: Arc<str>,
        /// Time from which its tasks may start, milliseconds.
        start_ms: u64,
    }
}

impl Supervisor {
    /// Returns whether an isolated start keeps the tasks of a job from starting.
    pub(crate) fn is_isolated_from(&self, job: &str) -> bool {
        self.isolation.as_ref().is_some_and(|isolation| *isolation.job != *job)
    }

    /// Returns the phase in which the runs of a batch begin. A suspected job waits until the latest
    /// start of another one is old enough.
    pub(crate) fn first_phase(&mut self, batch: &AttemptBatch, now_ms: u64) -> Phase {
        if !batch.is_suspect {
            return Phase::STARTING;
        }
        let others = self.runs.iter().filter(|(task, _)| task.job != batch.job);
        let latest_ms = others.map(|(_, run)| run.accepted_ms + SUSPECT_AGE_MS).max();
        let start_ms = latest_ms.unwrap_or(0).max(now_ms);
        self.isolation = Some(Isolation { job: Arc::clone(&batch.job), start_ms });
        if start_ms > now_ms { Phase::Held } else { Phase::STARTING }
    }

    /// Starts the held tasks when their time has come, and ends the isolation when a crash would no
    /// longer be due to them.
    pub(crate) fn advance_isolation(&mut self, now_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        let Some(isolation) = &self.isolation else { return };
        if now_ms >= isolation.start_ms + SUSPECT_AGE_MS {
            self.isolation = None;
            effects.extend(self.report_all());
        }
        let is_due = |run: &Run| run.phase == Phase::Held;
        if self.isolation.as_ref().is_some_and(|isolation| now_ms < isolation.start_ms) {
            return;
        }
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| is_due(run)) {
            run.phase = Phase::STARTING;
            run.accepted_ms = now_ms;
            let (task, payload) = (task.clone(), Arc::clone(&run.payload));
            effects.push(SupervisorEffect::Start(StartRun { task, run: run.number, payload }));
        }
    }
}
