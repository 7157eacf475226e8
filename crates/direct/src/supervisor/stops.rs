//! Stops of runs.

use crate::{
    AttemptId, SessionKey, TaskId,
    supervisor::{
        Supervisor, SupervisorEffect,
        run::{Phase, Run, StopReport},
    },
};

impl Supervisor {
    /// Stops the runs of the given attempts at the request of their entry.
    pub fn on_stop(&mut self, key: SessionKey, ids: &[AttemptId]) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        self.stop_attempts(|owner, id| owner == key && ids.contains(&id), &mut effects);
        effects
    }

    /// Applies the result of a stop; an unacknowledged stop is sent again. A run that the agent
    /// started counts as ended only when a later list does not contain it.
    pub fn on_stop_result(
        &mut self,
        task: &TaskId,
        number: u32,
        is_acknowledged: bool,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let orphaned = (task.clone(), number);
        if self.orphaned_runs.contains(&orphaned) {
            if is_acknowledged {
                self.orphaned_runs.shift_remove(&orphaned);
                return Vec::new();
            }
            return vec![SupervisorEffect::Stop(task.clone(), number)];
        }
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return Vec::new();
        };
        match &mut run.phase {
            Phase::Stopping { acked_ms, report } if is_acknowledged => {
                *acked_ms = Some(now_ms);
                match report {
                    StopReport::Stopped => Vec::new(),
                    StopReport::NotStarted => vec![SupervisorEffect::PollRuns],
                }
            }
            Phase::Stopping { acked_ms: None, .. } => {
                vec![SupervisorEffect::Stop(task.clone(), number)]
            }
            _ => Vec::new(),
        }
    }

    /// Stops all runs of a session.
    pub(crate) fn stop_session(&mut self, key: SessionKey, effects: &mut Vec<SupervisorEffect>) {
        self.stop_attempts(|owner, _| owner == key, effects);
    }

    /// Stops the runs whose attempts are selected by session and id.
    pub(crate) fn stop_attempts(
        &mut self,
        is_selected: impl Fn(SessionKey, AttemptId) -> bool,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let selected = |run: &Run| run.attempt.is_some_and(|(owner, id)| is_selected(owner, id));
        let tasks: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| selected(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.stop_run(&task, StopReport::Stopped, effects);
        }
    }

    /// Sends a stop for a run, unless one was sent before.
    pub(crate) fn stop_run(
        &mut self,
        task: &TaskId,
        report: StopReport,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let Some(run) = self.runs.get_mut(task) else { return };
        if matches!(run.phase, Phase::Stopping { .. }) {
            return;
        }
        run.phase = Phase::Stopping { acked_ms: None, report };
        effects.push(SupervisorEffect::Stop(task.clone(), run.number));
    }
}
