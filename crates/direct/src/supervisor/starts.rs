//! Starts of runs.

use std::sync::Arc;

use crate::{
    AttemptBatch, AttemptOutcome, SessionKey, StartResult, StartRun, TaskId,
    supervisor::{
        Supervisor, SupervisorEffect,
        run::{Phase, Run, StopReport},
    },
};

/// Number of times that a start is sent before the run is stopped. Starts are idempotent. With one
/// call in three unanswered, three sends start 26 runs of 27.
const MAX_START_SENDS: u32 = 3;

impl Supervisor {
    /// Starts the attempts of a batch that fit the free capacity and whose tasks have no run yet.
    /// The others are settled as not started; all of them are if the agent accepts no attempts.
    pub fn on_attempts(&mut self, key: SessionKey, batch: &AttemptBatch) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        if let Some(session) = self.session_mut(key) {
            session.batches_seen += 1;
        }
        let mut is_refused = false;
        for attempt in &batch.attempts {
            let task = batch.task(attempt);
            if self.accepts_attempts()
                && self.has_capacity(batch.need)
                && !self.runs.contains_key(&task)
            {
                let number = attempt.run.max(self.run_numbers.get(&task).map_or(0, |n| n + 1));
                let run = Run {
                    number,
                    need: batch.need,
                    attempt: Some((key, attempt.id)),
                    payload: Arc::clone(&batch.payload),
                    phase: Phase::Starting { sends: 1 },
                };
                self.runs.insert(task.clone(), run);
                let payload = Arc::clone(&batch.payload);
                effects.push(SupervisorEffect::Start(StartRun { task, run: number, payload }));
            } else {
                is_refused = true;
                self.settle(
                    &task,
                    Some((key, attempt.id)),
                    AttemptOutcome::NotStarted,
                    &mut effects,
                );
            }
        }
        if is_refused {
            effects.push(SupervisorEffect::Report(key));
        }
        effects
    }

    /// Applies the result of a start. A start without an answer is sent again, and after the last
    /// time the run is stopped.
    pub fn on_start_result(
        &mut self,
        task: &TaskId,
        number: u32,
        result: StartResult,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return effects;
        };
        let Phase::Starting { sends } = run.phase else {
            return effects;
        };
        match result {
            StartResult::Started => run.phase = Phase::Running { since_ms: now_ms },
            StartResult::Unknown
                if sends < MAX_START_SENDS && !self.response_monitor.is_unresponsive() =>
            {
                run.phase = Phase::Starting { sends: sends + 1 };
                let (task, payload) = (task.clone(), Arc::clone(&run.payload));
                effects.push(SupervisorEffect::Start(StartRun { task, run: number, payload }));
            }
            StartResult::Unknown => self.stop_run(task, StopReport::NotStarted, &mut effects),
            // An earlier send may have started the run, whatever the answer to this one.
            _ if sends > 1 => self.stop_run(task, StopReport::NotStarted, &mut effects),
            StartResult::OldRun => {
                self.run_numbers.insert(task.clone(), number + 1);
                self.finish(task, AttemptOutcome::NotStarted, &mut effects);
            }
            StartResult::Refused => self.finish(task, AttemptOutcome::NotStarted, &mut effects),
            StartResult::Unhealthy => self.finish(task, AttemptOutcome::Unhealthy, &mut effects),
        }
        effects
    }
}
