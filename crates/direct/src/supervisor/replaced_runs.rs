//! Runs that were meant for an incarnation of the upstream that another one has replaced.
//!
//! A start may be under way while the upstream is replaced, and the next incarnation carries it out.
//! So the agent raises its fencing token when another incarnation answers: the first answer to a call
//! with the raised token lists every such run, and no other one can start after it.

use crate::{
    AttemptOutcome, RunList, SettledBy, StopCause, TaskId,
    supervisor::{Supervisor, SupervisorEffect, run::Phase},
};

impl Supervisor {
    /// Returns whether the agent needs a list that shows that the upstream refuses the orders that are
    /// not meant for its present incarnation.
    pub fn awaits_fencing(&self) -> bool {
        self.controlled_ms.is_none() && self.runs.values().any(|run| run.replaced.is_some())
    }

    /// Keeps all runs unsettled until it is known which of them the present incarnation has; those
    /// that are gone have this outcome, or have not started if their start is still held.
    pub(crate) fn replace_runs(
        &mut self,
        outcome: AttemptOutcome,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        for run in self.runs.values_mut() {
            let is_held = run.phase == Phase::Held;
            let outcome = if is_held { AttemptOutcome::NotStarted } else { outcome };
            run.replaced.get_or_insert(outcome);
        }
        self.controlled_ms = None;
        effects.extend([SupervisorEffect::RaiseToken, SupervisorEffect::PollRuns]);
    }

    /// Applies a list from which on the upstream refuses the orders that are not meant for its present
    /// incarnation: it has the runs that are listed, and the others are gone.
    pub(crate) fn settle_replaced(&mut self, list: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let Some(controlled_ms) = self.controlled_ms.filter(|_| list.is_fencing) else { return };
        // A list may omit a run that a stop ends which was under way, too.
        let stops_have_ended = list.sent_ms >= controlled_ms + self.timing.stop_end_ms();
        let mut gone: Vec<(TaskId, AttemptOutcome)> = Vec::new();
        let mut not_stopped = Vec::new();
        for (task, run) in &mut self.runs {
            let Some(outcome) = run.replaced else { continue };
            let is_listed = list.contains(task, run.number);
            match &mut run.phase {
                Phase::Stopping { acked_ms, .. } if is_listed => {
                    *acked_ms = None;
                    not_stopped.push((task.clone(), run.number));
                    run.replaced = None;
                }
                phase if is_listed => {
                    *phase = Phase::Running { since_ms: list.received_ms };
                    run.replaced = None;
                }
                Phase::Stopping { .. } if !stops_have_ended => {}
                _ => gone.push((task.clone(), outcome)),
            }
        }
        for (task, number) in not_stopped {
            effects.extend(self.send_stop(&task, number, StopCause::Repeated));
        }
        for (task, outcome) in gone {
            self.finish(&task, outcome, SettledBy::UpstreamReplaced, effects);
        }
    }
}
