//! Runs that this agent did not start, and the opening of the agent once those of earlier agents have
//! ended.

use crate::{
    RunList, StopCause,
    supervisor::{Supervisor, SupervisorEffect},
};

impl Supervisor {
    /// Stops the runs of a list that the agent did not start, and removes those that have ended.
    pub(crate) fn stop_orphans(&mut self, list: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let mut ended = Vec::new();
        for (run_key, acked_ms) in &self.orphaned_runs {
            let (task, number) = run_key;
            if !list.contains(task, *number)
                && acked_ms.is_some_and(|ms| self.is_ended_without_row(ms, list))
            {
                ended.push(run_key.clone());
            }
        }
        for run_key in ended {
            self.orphaned_runs.shift_remove(&run_key);
        }
        for row in &list.running {
            let is_known = self.runs.get(&row.task).is_some_and(|run| run.number == row.run);
            let run_key = (row.task.clone(), row.run);
            let acked_ms = self.orphaned_runs.get(&run_key).copied();
            // A stop that has had its time and did not end the run is sent again.
            let is_stopped = acked_ms
                .is_some_and(|acked| acked.is_none_or(|ms| !self.is_ended_without_row(ms, list)));
            if !is_known && !is_stopped {
                self.orphaned_runs.insert(run_key, None);
                let cause = if acked_ms.is_none() { StopCause::Found } else { StopCause::Repeated };
                effects.extend(self.send_stop(&row.task, row.run, cause));
            }
        }
    }

    /// Returns the time from which a list can show that no run of an earlier agent is left,
    /// milliseconds; `None` before the first answer of the upstream. A list may omit a run that an
    /// earlier agent has stopped, for as long as it takes to end. From its first answer to this agent on,
    /// the upstream carries out no stop of an earlier one.
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
            && self.orphaned_runs.is_empty()
            && is_requested_after(self.opening_list_ms())
    }
}
