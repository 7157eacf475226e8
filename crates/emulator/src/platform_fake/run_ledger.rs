use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// A record of every run at a group of executors, with which tests find tasks that ran twice at
/// the same time. Clones share the record.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    runs: Arc<Mutex<Vec<RecordedRun>>>,
}

#[derive(Clone, Debug)]
struct RecordedRun {
    task: String,
    executor: String,
    from: Instant,
    to: Option<Instant>,
    is_done: bool,
}

impl RunLedger {
    /// Records the start of a run and returns its index in the ledger.
    pub(crate) fn record_start(&self, task: &str, executor: &str) -> usize {
        let mut runs = self.lock();
        let (task, executor) = (task.to_owned(), executor.to_owned());
        runs.push(RecordedRun { task, executor, from: Instant::now(), to: None, is_done: false });
        runs.len() - 1
    }

    pub(crate) fn record_end(&self, run: usize, is_done: bool) {
        self.record_end_at(run, Instant::now(), is_done);
    }

    pub(crate) fn record_end_at(&self, run: usize, at: Instant, is_done: bool) {
        let mut runs = self.lock();
        runs[run].to.get_or_insert(at);
        runs[run].is_done |= is_done;
    }

    /// Returns the number of runs of tasks whose name starts with `prefix`.
    pub fn count_runs(&self, prefix: &str) -> usize {
        self.lock().iter().filter(|run| run.task.starts_with(prefix)).count()
    }

    /// Returns the number of runs that have not ended.
    pub fn running(&self) -> usize {
        self.lock().iter().filter(|run| run.to.is_none()).count()
    }

    /// Returns the number of runs that succeeded.
    pub fn done(&self) -> usize {
        self.lock().iter().filter(|run| run.is_done).count()
    }

    /// Returns the largest number of concurrent runs at any executor.
    pub fn max_concurrent_runs(&self) -> usize {
        let runs = self.lock();
        let running_at = |instant: Instant, executor: &str| {
            let was_running = |run: &&RecordedRun| {
                run.executor == executor
                    && run.from <= instant
                    && run.to.is_none_or(|to| to > instant)
            };
            runs.iter().filter(was_running).count()
        };
        runs.iter().map(|run| running_at(run.from, &run.executor)).max().unwrap_or(0)
    }

    /// Returns every pair of overlapping runs of one task, as the task, the two executors, and the
    /// time since the start of the second run, milliseconds, and of the overlap, if it has ended.
    pub fn overlaps(&self) -> Vec<String> {
        let runs = self.lock();
        let mut found = Vec::new();
        for (i, first) in runs.iter().enumerate() {
            for second in &runs[i + 1..] {
                let is_over = first.to.is_some_and(|to| to <= second.from);
                if first.task == second.task && !is_over {
                    let overlap_ms = first.to.map(|to| (to - second.from).as_millis());
                    let since_ms = second.from.elapsed().as_millis();
                    found.push(format!(
                        "{}: {}, {}; {since_ms} ms ago, {overlap_ms:?} ms long",
                        first.task, first.executor, second.executor
                    ));
                }
            }
        }
        found
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RecordedRun>> {
        self.runs.lock().expect("no holder of the lock panics")
    }
}
