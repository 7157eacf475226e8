//! Runs that were meant for an incarnation of the upstream that another one has replaced.
//!
//! A start may be under way while the upstream is replaced, and the next incarnation may carry it
//! out. So the agent raises its fencing token when another incarnation answers. The first list that
//! it sends for a call with the raised token has every such run: it refuses the other starts from then
//! on. A further incarnation has seen no token again, so it is the upstream's id in the start that
//! keeps these from it.

use crate::{
    AttemptOutcome, RunList, SettledBy, StopCause, TaskId,
    supervisor::{Supervisor, SupervisorEffect, run::Phase},
};

impl Supervisor {
    /// Returns whether a list is needed that shows which runs the upstream's present incarnation has.
    pub fn awaits_fencing(&self) -> bool {
        self.controlled_ms.is_none() && self.runs.values().any(|run| run.outcome_if_gone.is_some())
    }

    /// Leaves all runs unsettled until it is known which of them the present incarnation has; those
    /// that are gone have this outcome, or have not started if their start is still held.
    pub(crate) fn await_fencing(
        &mut self,
        outcome: AttemptOutcome,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        for run in self.runs.values_mut() {
            let is_held = run.phase == Phase::Held;
            let outcome = if is_held { AttemptOutcome::NotStarted } else { outcome };
            run.outcome_if_gone.get_or_insert(outcome);
            run.absence.end();
        }
        self.controlled_ms = None;
        effects.extend([SupervisorEffect::RaiseToken, SupervisorEffect::PollRuns]);
    }

    /// Applies a list of an incarnation that has replaced another one: it has the runs that are listed,
    /// and the others are gone once it refuses the orders that are not meant for it.
    pub(crate) fn settle_replaced(&mut self, list: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let controlled_ms = self.controlled_ms.filter(|_| list.is_fencing);
        // A stop that was under way may be ending its run, and lists may omit the run meanwhile.
        let stops_have_ended =
            controlled_ms.is_some_and(|ms| list.sent_ms >= ms + self.timing.stop_end_ms());
        let mut gone: Vec<(TaskId, AttemptOutcome)> = Vec::new();
        let mut not_stopped = Vec::new();
        for (task, run) in &mut self.runs {
            let Some(outcome) = run.outcome_if_gone else { continue };
            let is_listed = list.contains(task, run.number);
            match &mut run.phase {
                Phase::Stopping { acked_ms, .. } if is_listed => {
                    *acked_ms = None;
                    not_stopped.push((task.clone(), run.number));
                    run.outcome_if_gone = None;
                }
                phase if is_listed => {
                    *phase = Phase::Running { since_ms: list.received_ms };
                    run.outcome_if_gone = None;
                }
                Phase::Stopping { .. } if !stops_have_ended => {}
                _ if controlled_ms.is_none() => {}
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
