//! How runs end, and what their entries are told.

use crate::{
    AttemptId, AttemptOutcome, RunList, RunOutcome, SessionKey, TaskId,
    supervisor::{
        Supervisor, SupervisorEffect,
        run::{Phase, StopReport},
    },
};

/// Run numbers of ended tasks that are remembered, so that a task that comes back gets a higher
/// one. Source: tasks that an upstream ends while a client may ask again.
const RUN_NUMBERS_KEPT: usize = 2_048;

impl Supervisor {
    pub(crate) fn on_end(
        &mut self,
        task: &TaskId,
        number: u32,
        how: RunOutcome,
        now_ms: u64,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        self.orphaned_runs.shift_remove(&(task.clone(), number));
        let Some(run) = self.runs.get(task).filter(|run| run.number == number) else {
            return;
        };
        let outcome = match (how, run.phase) {
            (RunOutcome::Done, Phase::Running { since_ms }) => AttemptOutcome::Done {
                run_ms: u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX),
            },
            (RunOutcome::Done, _) => AttemptOutcome::Done { run_ms: 0 },
            (RunOutcome::Failed, _) => AttemptOutcome::Failed,
            (RunOutcome::Terminated, Phase::Stopping { report: StopReport::Stopped, .. }) => {
                AttemptOutcome::Stopped
            }
            (RunOutcome::Terminated, _) => AttemptOutcome::Lost,
        };
        self.finish(task, outcome, effects);
    }

    /// Settles runs that must be in the lists if they were there.
    pub(crate) fn settle_absent(&mut self, result: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let listed = |task: &TaskId, number: u32| {
            result.running.iter().any(|row| &row.task == task && row.run == number)
        };
        let mut absent = Vec::new();
        for (task, run) in &self.runs {
            if listed(task, run.number) {
                continue;
            }
            match run.phase {
                Phase::Running { since_ms } if result.sent_ms > since_ms => {
                    absent.push((task.clone(), AttemptOutcome::Lost));
                }
                Phase::Stopping { acked_ms: Some(acked_ms), report }
                    if result.sent_ms >= acked_ms =>
                {
                    let outcome = match report {
                        StopReport::Stopped => AttemptOutcome::Stopped,
                        StopReport::NotStarted => AttemptOutcome::NotStarted,
                    };
                    absent.push((task.clone(), outcome));
                }
                _ => {}
            }
        }
        for (task, outcome) in absent {
            self.finish(&task, outcome, effects);
        }
    }

    /// Forgets an upstream that has been replaced at its address; what ran there is gone.
    pub(crate) fn check_incarnation(
        &mut self,
        incarnation: Option<u64>,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let Some(incarnation) = incarnation else { return };
        if self.upstream.as_ref().is_some_and(|known| known.incarnation < incarnation) {
            self.upstream = None;
            self.lose_all(effects);
            self.run_numbers.clear();
            effects.extend(self.report_all());
        }
    }

    pub(crate) fn lose_all(&mut self, effects: &mut Vec<SupervisorEffect>) {
        let tasks: Vec<TaskId> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.finish(&task, AttemptOutcome::Lost, effects);
        }
    }

    /// Ends the charge of a run and tells its entry.
    pub(crate) fn finish(
        &mut self,
        task: &TaskId,
        outcome: AttemptOutcome,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let Some(run) = self.runs.shift_remove(task) else { return };
        let number = self.run_numbers.entry(task.clone()).or_insert(0);
        *number = run.number.max(*number);
        if self.run_numbers.len() > RUN_NUMBERS_KEPT {
            self.run_numbers.shift_remove_index(0);
        }
        self.settle(task, run.attempt, outcome, effects);
        if let Some((key, _)) = run.attempt {
            effects.push(SupervisorEffect::Report(key));
        }
    }

    pub(crate) fn settle(
        &mut self,
        task: &TaskId,
        attempt: Option<(SessionKey, AttemptId)>,
        outcome: AttemptOutcome,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        if let Some((key, id)) = attempt
            && let Some(session) = self.session_mut(key)
        {
            session.record(id, outcome);
        }
        effects.push(SupervisorEffect::Settled(task.clone(), attempt.map(|(_, id)| id), outcome));
    }
}
