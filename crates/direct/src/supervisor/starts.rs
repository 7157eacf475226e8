//! Starts of runs.

use std::sync::Arc;

use crate::{
    AttemptBatch, AttemptOutcome, RunList, SessionKey, SettledBy, StartResult, StartRun, StopCause,
    TaskId,
    supervisor::{
        Supervisor, SupervisorEffect,
        absence::Absence,
        run::{EndedRun, Phase, Run, StopReport},
    },
};

/// Number of times that a start is sent before the run is stopped. Starts are idempotent. With one
/// call in three unanswered, four sends start 80 runs of 81.
const MAX_START_SENDS: u32 = 4;

impl Supervisor {
    /// Starts the attempts of a batch that fit the free capacity and whose tasks have no run yet.
    /// The others are settled as not started; all of them are if the agent accepts no attempts or
    /// the batch may have been under way for too long.
    pub fn on_attempts(
        &mut self,
        key: SessionKey,
        batch: &AttemptBatch,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        if let Some(session) = self.session_mut(key) {
            session.batches_seen += 1;
        }
        let was_isolated = self.isolation.is_some();
        let mut is_refused = false;
        let may_start = self.may_start_for(key, now_ms) && self.keeps_run_limit(key);
        for attempt in &batch.attempts {
            let task = batch.task(attempt);
            if may_start
                && self.accepts_attempts()
                && !self.is_isolated_from(&batch.job)
                && self.has_capacity(batch.need)
                && !self.runs.contains_key(&task)
            {
                let phase = self.first_phase(batch, now_ms);
                let number = attempt
                    .run
                    .max(self.run_numbers.get(&task).map_or(0, |ended| ended.number + 1));
                let run = Run {
                    number,
                    need: batch.need,
                    kind: Arc::clone(&batch.kind),
                    is_suspect: batch.is_suspect,
                    attempt: Some((key, attempt.id)),
                    payload: Arc::clone(&batch.payload),
                    accepted_ms: now_ms,
                    phase,
                    absence: Absence::default(),
                    outcome_if_gone: None,
                    wanted_until_ms: None,
                };
                self.runs.insert(task.clone(), run);
                if phase != Phase::Held {
                    let payload = Arc::clone(&batch.payload);
                    effects.push(SupervisorEffect::Start(StartRun { task, run: number, payload }));
                }
            } else {
                is_refused = true;
                let by = if self.is_evacuated { SettledBy::Evacuation } else { SettledBy::Refusal };
                self.settle(
                    &task,
                    Some((key, attempt.id)),
                    AttemptOutcome::NotStarted,
                    by,
                    &mut effects,
                );
            }
        }
        if was_isolated != self.isolation.is_some() {
            effects.extend(self.report_all());
        }
        if is_refused {
            effects.push(SupervisorEffect::Report(key));
        }
        effects
    }

    /// Returns whether a run of an entry that starts now would end by its limit although the leases
    /// that were granted before protect it too.
    fn keeps_run_limit(&self, key: SessionKey) -> bool {
        let mut sessions = self.sessions.values();
        let proven_ms = sessions.find(|(known, _)| *known == key).map(|(_, s)| s.proven_ms);
        let granted_end_ms = self.leases.last_ms() + self.timing.granted_lease_ms();
        proven_ms.is_some_and(|ms| granted_end_ms <= ms + self.timing.run_limit_ms())
    }

    /// Returns whether a start may still be sent: its run waits for it, its entry wanted it recently,
    /// and the upstream's zone is not evacuated. To be asked immediately before sending, because a
    /// start may wait for its turn.
    pub fn may_send_start(&self, task: &TaskId, number: u32, now_ms: u64) -> bool {
        !self.is_evacuated
            && self.runs.get(task).is_some_and(|run| {
                run.number == number
                    && run.outcome_if_gone.is_none()
                    && matches!(run.phase, Phase::Starting { .. })
                    && run.attempt.is_some_and(|(key, _)| {
                        self.may_start_for(key, now_ms) && self.keeps_run_limit(key)
                    })
            })
    }

    /// Returns the time after which an unanswered start is overdue, milliseconds.
    pub fn start_overdue_ms(&self) -> u64 {
        self.start_timer.overdue_ms(self.timing.call_ms)
    }

    /// Records the time that the answer to a start took, milliseconds.
    pub fn record_start_time(&mut self, took_ms: u64) {
        self.start_timer.observe(took_ms);
    }

    /// Sends a start again whose answer is overdue; the earlier call may still be answered.
    pub fn on_start_overdue(&mut self, task: &TaskId, number: u32) -> Vec<SupervisorEffect> {
        self.repeat_start(task, number, 0).into_iter().collect()
    }

    /// Sends a start again unless it was sent often enough or the upstream's zone is evacuated;
    /// `ended_calls` of its calls have ended without an answer.
    fn repeat_start(
        &mut self,
        task: &TaskId,
        number: u32,
        ended_calls: u32,
    ) -> Option<SupervisorEffect> {
        let is_refusing = self.response_monitor.is_unresponsive() || self.is_evacuated;
        let run = self.runs.get_mut(task).filter(|run| run.number == number)?;
        let Phase::Starting { sends, open_calls } = &mut run.phase else { return None };
        *open_calls -= ended_calls;
        if *sends >= MAX_START_SENDS || is_refusing || run.outcome_if_gone.is_some() {
            return None;
        }
        *sends += 1;
        *open_calls += 1;
        let (task, payload) = (task.clone(), Arc::clone(&run.payload));
        Some(SupervisorEffect::Start(StartRun { task, run: number, payload }))
    }

    /// Applies the result of one call of a start. A start without an answer is sent again, if its
    /// connection broke only after a list of the same incarnation; the run is stopped when all calls
    /// have ended without an answer.
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
        let Phase::Starting { sends, open_calls } = &mut run.phase else {
            return effects;
        };
        if result == StartResult::Undelivered {
            *open_calls -= 1;
        }
        let (sends, open_calls) = (*sends, *open_calls);
        // The list that is awaited settles a start that a call may have carried out; a further call would
        // reach the next incarnation.
        let may_have_started =
            sends > 1 || matches!(result, StartResult::Unknown | StartResult::Broken);
        if run.outcome_if_gone.is_some() && result != StartResult::Started && may_have_started {
            return effects;
        }
        let by = SettledBy::StartResult;
        match result {
            StartResult::Started => run.phase = Phase::Running { since_ms: now_ms },
            StartResult::Broken if open_calls == 1 => {
                run.phase = Phase::AwaitingList { sends, since_ms: now_ms };
                effects.push(SupervisorEffect::PollRuns);
            }
            StartResult::Broken => {
                if let Phase::Starting { open_calls, .. } = &mut run.phase {
                    *open_calls -= 1;
                }
            }
            StartResult::Unknown => match self.repeat_start(task, number, 1) {
                Some(repeated) => effects.push(repeated),
                None if open_calls > 1 => {}
                None => self.stop_run(
                    task,
                    StopReport::Unconfirmed,
                    StopCause::StartUnconfirmed,
                    &mut effects,
                ),
            },
            // The other calls may have arrived.
            StartResult::Undelivered if open_calls > 0 => {}
            // An earlier send may have started the run, whatever the answer to this one.
            _ if sends > 1 => self.stop_run(
                task,
                StopReport::Unconfirmed,
                StopCause::StartUnconfirmed,
                &mut effects,
            ),
            StartResult::OldRun => {
                let ended = EndedRun { number: number + 1, listed_ms: None };
                self.run_numbers.insert(task.clone(), ended);
                self.finish(task, AttemptOutcome::NotStarted, by, &mut effects);
            }
            StartResult::Refused | StartResult::Undelivered => {
                self.finish(task, AttemptOutcome::NotStarted, by, &mut effects)
            }
            StartResult::Unhealthy => {
                self.finish(task, AttemptOutcome::Unhealthy, by, &mut effects)
            }
        }
        effects
    }

    /// Sends the starts again whose connections broke, unless a list of the same incarnation of the
    /// upstream shows their runs.
    pub(crate) fn resume_broken_starts(
        &mut self,
        list: &RunList,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let mut unlisted = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| run.outcome_if_gone.is_none()) {
            let Phase::AwaitingList { sends, since_ms } = run.phase else { continue };
            if list.contains(task, run.number) {
                run.phase = Phase::Running { since_ms: list.received_ms };
            } else if list.sent_ms >= since_ms {
                run.phase = Phase::Starting { sends, open_calls: 0 };
                unlisted.push((task.clone(), run.number));
            }
        }
        for (task, number) in unlisted {
            match self.repeat_start(&task, number, 0) {
                Some(repeated) => effects.push(repeated),
                None => self.stop_run(
                    &task,
                    StopReport::Unconfirmed,
                    StopCause::StartUnconfirmed,
                    effects,
                ),
            }
        }
    }
}
