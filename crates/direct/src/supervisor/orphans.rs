//! Runs that this agent did not start, and the opening of the agent once those of earlier agents have
//! ended.

use crate::{
    RunList, StopCause, TaskId,
    supervisor::{Supervisor, SupervisorEffect, absence::Absence},
};

/// A run at the upstream that this agent did not start, for example one of an earlier agent. It is
/// stopped.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Orphan {
    /// Time at which its stop was acknowledged, milliseconds.
    pub(crate) acked_ms: Option<u64>,
    absence: Absence,
}

impl Supervisor {
    /// Stops the runs of a list that the agent did not start, and forgets those whose ends were lost.
    pub(crate) fn stop_orphans(&mut self, list: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let missing_after_ms = self.timing.missing_after_ms();
        self.orphans.retain(|(task, number), orphan| {
            // A row without a readable number may stay for ever.
            if list.has_row(task, *number) {
                orphan.absence.end();
                return true;
            }
            orphan.absence.record(list) < missing_after_ms
        });
        for row in &list.running {
            let is_known = self.runs.get(&row.task).is_some_and(|run| run.number == row.run);
            if is_known || self.is_outdated_row(list, &row.task, row.run) {
                continue;
            }
            let run_key = (row.task.clone(), row.run);
            let known = self.orphans.get(&run_key).copied();
            // A stop that has had its time and did not end the run is sent again.
            let is_stopped = known.is_some_and(|orphan| {
                orphan.acked_ms.is_none_or(|ms| list.sent_ms < ms + self.timing.stop_ms)
            });
            if !is_stopped {
                self.orphans.insert(run_key, Orphan::default());
                let cause = if known.is_none() { StopCause::Found } else { StopCause::Repeated };
                effects.extend(self.send_stop(&row.task, row.run, cause));
            }
        }
    }

    /// Returns whether a row is older than the end of its run: lists overtake each other.
    fn is_outdated_row(&self, list: &RunList, task: &TaskId, number: u32) -> bool {
        let ended = self.run_numbers.get(task).filter(|ended| number <= ended.number);
        ended.and_then(|ended| ended.listed_ms).is_some_and(|ms| list.sent_ms <= ms)
    }

    /// Returns the time from which a list can show that no run of an earlier agent is left,
    /// milliseconds; `None` while the upstream may carry out orders of an earlier agent. A list may
    /// omit a run that an earlier agent has stopped, for as long as it takes to end.
    pub fn opening_list_ms(&self) -> Option<u64> {
        self.controlled_ms.map(|ms| ms + self.timing.stop_end_ms())
    }

    /// Returns whether a list shows that no run of an earlier agent is left.
    pub(crate) fn shows_no_orphan(&self, list: &RunList) -> bool {
        let is_requested_after = |ms: Option<u64>| ms.is_some_and(|ms| list.sent_ms >= ms);
        // A row that stays without a readable number may be of another writer.
        let missing_ms = self.controlled_ms.map(|ms| ms + self.timing.missing_after_ms());
        list.running.is_empty()
            && (list.unnumbered.is_empty() || is_requested_after(missing_ms))
            && self.orphans.is_empty()
            && is_requested_after(self.opening_list_ms())
    }
}
