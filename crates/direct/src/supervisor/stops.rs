//! Stops of runs.

use crate::{
    AttemptId, RunList, SessionKey, StopCause, TaskId,
    supervisor::{
        Supervisor, SupervisorEffect,
        run::{Phase, Run, StopReport},
    },
};

/// Maximum number of unanswered calls of one stop: as many as become overdue, one after the other,
/// within the timeout of a call. Stops are idempotent.
const MAX_OPEN_STOPS: u32 = 8;

impl Supervisor {
    /// Stops the runs of the given attempts at the request of their entry.
    pub fn on_stop(&mut self, key: SessionKey, ids: &[AttemptId]) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        // The entry sends a stop as soon as it no longer wants the attempts.
        let wanted_ms = self.session_mut(key).map_or(0, |session| session.proven_ms);
        let is_selected = |id| ids.contains(&id);
        self.stop_attempts(key, wanted_ms, StopCause::Requested, is_selected, &mut effects);
        effects
    }

    /// Sends a stop again whose answer is overdue; the earlier call may still be answered.
    pub fn on_stop_overdue(&mut self, task: &TaskId, number: u32) -> Vec<SupervisorEffect> {
        if self.is_stop_pending(task, number) {
            self.send_stop(task, number, StopCause::Repeated).into_iter().collect()
        } else {
            Vec::new()
        }
    }

    /// Applies the result of one call of a stop; an unacknowledged stop is sent again. A run counts
    /// as ended only when a list shows it: see [`Supervisor::settle_absent`].
    pub fn on_stop_result(
        &mut self,
        task: &TaskId,
        number: u32,
        is_acknowledged: bool,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let run_key = (task.clone(), number);
        if let Some(open) = self.open_stops.get_mut(&run_key) {
            *open -= 1;
            if *open == 0 {
                self.open_stops.swap_remove(&run_key);
            }
        }
        if !is_acknowledged {
            return self.on_stop_overdue(task, number);
        }
        if let Some(orphan) = self.orphans.get_mut(&run_key) {
            orphan.acked_ms.get_or_insert(now_ms);
        }
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return Vec::new();
        };
        match &mut run.phase {
            Phase::Stopping { acked_ms, report } => {
                // The time to end counts from the first acknowledgement.
                acked_ms.get_or_insert(now_ms);
                match report {
                    StopReport::Stopped => Vec::new(),
                    StopReport::Unconfirmed => vec![SupervisorEffect::PollRuns],
                }
            }
            _ => Vec::new(),
        }
    }

    /// Sends the stops again that have had their time and did not end their runs: the acknowledgement may
    /// have been that of an earlier incarnation.
    pub(crate) fn repeat_stops(&mut self, list: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let end_ms = self.timing.stop_end_ms();
        let mut not_ended = Vec::new();
        for (task, run) in &mut self.runs {
            if let Phase::Stopping { acked_ms, .. } = &mut run.phase
                && acked_ms.is_some_and(|ms| list.sent_ms >= ms + end_ms)
                && list.has_row(task, run.number)
            {
                *acked_ms = None;
                not_ended.push((task.clone(), run.number));
            }
        }
        for (task, number) in not_ended {
            effects.extend(self.send_stop(&task, number, StopCause::Repeated));
        }
    }

    /// Returns whether a run is to be stopped and no stop has been acknowledged.
    fn is_stop_pending(&self, task: &TaskId, number: u32) -> bool {
        let orphan = self.orphans.get(&(task.clone(), number));
        orphan.is_some_and(|orphan| orphan.acked_ms.is_none())
            || self.runs.get(task).is_some_and(|run| {
                run.number == number && matches!(run.phase, Phase::Stopping { acked_ms: None, .. })
            })
    }

    /// Sends a stop of a run unless enough calls of it are unanswered.
    pub(crate) fn send_stop(
        &mut self,
        task: &TaskId,
        number: u32,
        cause: StopCause,
    ) -> Option<SupervisorEffect> {
        let open = self.open_stops.entry((task.clone(), number)).or_insert(0);
        if *open >= MAX_OPEN_STOPS {
            return None;
        }
        *open += 1;
        Some(SupervisorEffect::Stop(task.clone(), number, cause))
    }

    /// Stops all runs of a session.
    pub(crate) fn stop_session(
        &mut self,
        key: SessionKey,
        cause: StopCause,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let proven_ms = self.session_mut(key).map_or(0, |session| session.proven_ms);
        self.stop_attempts(key, proven_ms, cause, |_| true, effects);
    }

    /// Stops the runs of a session whose attempts are selected by id; their entry wanted them until
    /// `wanted_ms` at least.
    pub(crate) fn stop_attempts(
        &mut self,
        key: SessionKey,
        wanted_ms: u64,
        cause: StopCause,
        is_selected: impl Fn(AttemptId) -> bool,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let selected = |run: &Run| run.attempt.is_some_and(|(k, id)| k == key && is_selected(id));
        let mut tasks: Vec<TaskId> = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| selected(run)) {
            run.wanted_until_ms.get_or_insert(wanted_ms);
            tasks.push(task.clone());
        }
        for task in tasks {
            self.stop_run(&task, StopReport::Stopped, cause, effects);
        }
    }

    /// Sends a stop for a run, unless one was sent before.
    pub(crate) fn stop_run(
        &mut self,
        task: &TaskId,
        report: StopReport,
        cause: StopCause,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let Some(run) = self.runs.get_mut(task) else { return };
        if matches!(run.phase, Phase::Stopping { .. }) {
            return;
        }
        run.phase = Phase::Stopping { acked_ms: None, report };
        let number = run.number;
        effects.extend(self.send_stop(task, number, cause));
    }
}
