use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{Shared, StoppingRuns, lock};
use crate::platform_fake::run_ledger::RunEnd;

/// The runs of an executor. Tasks are identified by name; a task may have several runs, whose
/// numbers increase.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    /// Highest fencing token received; requests with a lower one are refused.
    pub(super) fencing_token: u64,
    /// Time on the executor's clock at which the lease expires, in milliseconds.
    pub(super) lease_until: u64,
    /// By task and number of the run.
    pub(super) running: BTreeMap<(String, u64), ActiveRun>,
    /// Runs that are being stopped, or whose lapse is late, by task.
    pub(super) stopping: Vec<(String, StoppingRun)>,
    /// Highest run number of each task; a start with this number or a lower one is refused.
    pub(super) highest_run: BTreeMap<String, u64>,
    /// Ended runs that the agent has not acknowledged.
    pub(super) ended: Vec<EndedRun>,
    pub(super) last_end_number: u64,
    /// Highest number of an end that the agent has acknowledged.
    pub(super) acknowledged: u64,
}

#[derive(Debug)]
pub(super) struct ActiveRun {
    pub(super) ledger_index: usize,
    pub(super) ends_at: Instant,
}

#[derive(Debug)]
pub(super) struct StoppingRun {
    pub(super) run: u64,
    pub(super) ledger_index: usize,
    pub(super) stopped_at: Instant,
    pub(super) end: RunEnd,
}

#[derive(Debug)]
pub(super) struct EndedRun {
    /// Number of the end.
    number: u64,
    task: String,
    run: u64,
    ledger_index: usize,
    end: RunEnd,
}

impl RunTable {
    /// Removes all runs and returns their indices in the ledger.
    pub(super) fn remove_all(&mut self) -> Vec<usize> {
        let running = std::mem::take(&mut self.running).into_values().map(|run| run.ledger_index);
        let stopping = std::mem::take(&mut self.stopping).into_iter();
        running.chain(stopping.map(|(_, run)| run.ledger_index)).collect()
    }
}

impl Shared {
    /// Ends the runs that have completed or been stopped, and every run when the lease has expired.
    pub(super) fn advance(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let lease_end = self.instant_of(state.lease_until);
        let lapse_at = lease_end + Duration::from_millis(lock(&self.clock).lapse_lag_ms);
        let end = if lock(&self.faults).fails_all { RunEnd::Failed } else { RunEnd::Done };
        for ((task, run), active) in std::mem::take(&mut state.running) {
            if active.ends_at <= now.min(lease_end) {
                self.end_run(&mut state, task, (run, active.ledger_index), now, end);
            } else if lease_end <= now {
                let (ledger_index, end) = (active.ledger_index, RunEnd::Lapsed);
                let run = StoppingRun { run, ledger_index, stopped_at: lapse_at, end };
                state.stopping.push((task, run));
            } else {
                state.running.insert((task, run), active);
            }
        }
        for (task, run) in std::mem::take(&mut state.stopping) {
            let is_lapsed = lease_end <= now;
            let ends_at = if is_lapsed { run.stopped_at.min(lapse_at) } else { run.stopped_at };
            if ends_at <= now {
                // Unless it says so, the check may be late and the executor that it plays is not.
                let is_late = lock(&self.clock).is_late_when_starved;
                let ends_at = if is_late { now } else { ends_at };
                self.end_run(&mut state, task, (run.run, run.ledger_index), ends_at, run.end);
            } else {
                state.stopping.push((task, run));
            }
        }
    }

    /// Records until when the runs are to have ended.
    pub(super) fn record_promises(&self, state: &RunTable) {
        let lease_end = self.instant_of(state.lease_until);
        let running = state.running.values().map(|run| (run.ledger_index, lease_end));
        let stopping = state.stopping.iter();
        let stopping = stopping.map(|(_, run)| (run.ledger_index, run.stopped_at.min(lease_end)));
        running.chain(stopping).for_each(|(run, due)| self.ledger.record_due(run, due));
    }

    /// Lists and records the end of a run, which has a number and an index in the ledger.
    fn end_run(
        &self,
        state: &mut RunTable,
        task: String,
        (run, ledger_index): (u64, usize),
        at: Instant,
        end: RunEnd,
    ) {
        self.ledger.record_end_at(ledger_index, at, end);
        state.last_end_number += 1;
        let number = state.last_end_number;
        state.ended.push(EndedRun { number, task, run, ledger_index, end });
        self.run_ended.notify_waiters();
    }

    /// Returns the lists of running and of unacknowledged ended runs as a response body, and
    /// whether the second has entries.
    pub(super) fn run_list(&self, last_seen: u64) -> (Value, bool) {
        let mut state = lock(&self.state);
        state.acknowledged = state.acknowledged.max(last_seen);
        let acknowledged = state.acknowledged;
        state.ended.retain(|ended| ended.number > acknowledged);
        state.ended.iter().for_each(|ended| self.ledger.record_listing(ended.ledger_index));
        let mut running: Vec<Value> =
            state.running.keys().map(|(task, run)| json!([task, run, "", 0])).collect();
        if lock(&self.faults).stopping_runs == StoppingRuns::Running {
            running.extend(state.stopping.iter().map(|(task, run)| json!([task, run.run, "", 0])));
        }
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|ended| json!([ended.number, ended.task, ended.run, ended.end.name(), ""]))
            .collect();
        let has_ended_runs = !ended.is_empty();
        let body = json!({ "clockMs": self.clock_ms(), "born": self.lifetime().incarnation, "running": running, "ended": ended });
        (body, has_ended_runs)
    }
}
