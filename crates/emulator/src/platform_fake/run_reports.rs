//! The runs of an executor that is a process of its own, as lines of its standard output.

use std::{
    io::{Write, stdout},
    time::Instant,
};

use super::run_ledger::{RecordedRun, RunEnd, RunLedger};

/// Writes what is known of a run as one line, which a signal cannot cut.
pub(super) fn write(index: usize, run: &RecordedRun) {
    let line = serde_json::to_string(&(index, run)).expect("a run can be written");
    // Without a reader there is no test any more.
    let _ = stdout().write_all(format!("{line}\n").as_bytes());
}

impl RunLedger {
    /// Adds the runs of one life of an executor's process until its lines end, which ends the runs
    /// that are left.
    pub fn add_reports(&self, lines: impl Iterator<Item = String>) {
        let mut indices = Vec::new();
        for line in lines {
            let Ok((index, run)) = serde_json::from_str::<(usize, RecordedRun)>(&line) else {
                continue;
            };
            let mut runs = self.lock();
            if index == indices.len() {
                indices.push(runs.len());
                runs.push(run);
            } else {
                runs[indices[index]] = run;
            }
        }
        let ended = Instant::now();
        indices.into_iter().for_each(|run| self.record_end_at(run, ended, RunEnd::Crashed));
    }
}
