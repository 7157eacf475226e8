use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// What executors have run, as seen from outside: finds tasks that ran twice at a time.
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
    pub(crate) fn started(&self, task: &str, executor: &str) -> usize {
        let mut runs = self.lock();
        let (task, executor) = (task.to_owned(), executor.to_owned());
        runs.push(RecordedRun { task, executor, from: Instant::now(), to: None, is_done: false });
        runs.len() - 1
    }

    pub(crate) fn ended(&self, run: usize, is_done: bool) {
        let mut runs = self.lock();
        runs[run].to.get_or_insert_with(Instant::now);
        runs[run].is_done |= is_done;
    }

    /// Returns the number of runs of tasks whose name begins so.
    pub fn count_runs(&self, prefix: &str) -> usize {
        self.lock().iter().filter(|run| run.task.starts_with(prefix)).count()
    }

    /// Returns the number of runs that have not ended.
    pub fn running(&self) -> usize {
        self.lock().iter().filter(|run| run.to.is_none()).count()
    }

    /// Returns the number of runs that ended well.
    pub fn done(&self) -> usize {
        self.lock().iter().filter(|run| run.is_done).count()
    }

    /// Returns the most runs that any executor had at a time.
    pub fn max_concurrent_runs(&self) -> usize {
        let runs = self.lock();
        let at = |moment: Instant, executor: &str| {
            let is_there = |run: &&RecordedRun| {
                run.executor == executor
                    && run.from <= moment
                    && run.to.is_none_or(|to| to > moment)
            };
            runs.iter().filter(is_there).count()
        };
        runs.iter().map(|run| at(run.from, &run.executor)).max().unwrap_or(0)
    }

    /// Returns the tasks of which two runs overlapped, with the executors.
    pub fn overlaps(&self) -> Vec<String> {
        let runs = self.lock();
        let mut found = Vec::new();
        for (i, first) in runs.iter().enumerate() {
            for second in &runs[i + 1..] {
                let is_over = first.to.is_some_and(|to| to <= second.from);
                if first.task == second.task && !is_over {
                    found.push(format!("{}: {}, {}", first.task, first.executor, second.executor));
                }
            }
        }
        found
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RecordedRun>> {
        self.runs.lock().expect("no holder of the lock panics")
    }
}
