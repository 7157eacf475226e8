use std::sync::{Mutex, MutexGuard};

use indexmap::IndexMap;
use types::{AttemptKey, AttemptNumber, JobId, TaskIndex};

types::wire! {
    /// How often one attempt at a task was started and finished.
    #[derive(Eq)]
    pub struct StartCount {
        /// The job.
        pub job: JobId,
        /// The position of the task in the job.
        pub index: TaskIndex,
        /// The attempt.
        pub attempt: AttemptNumber,
        /// Number of starts.
        pub starts: u32,
        /// Number of starts that ran to completion, whether or not the response arrived.
        pub finished: u32,
        /// W3C trace context of the latest start.
        pub traceparent: Option<String>,
    }

    /// Body of the response to `GET /starts`.
    #[derive(Eq)]
    pub struct StartsBody {
        /// Counts by attempt, in the order of their first starts.
        pub starts: Vec<StartCount>,
    }
}

/// Counts of every attempt that a server was asked to start.
#[derive(Debug, Default)]
pub(crate) struct StartCounts(Mutex<IndexMap<AttemptKey, StartCount>>);

impl StartCounts {
    pub(crate) fn record_start(&self, key: AttemptKey, traceparent: Option<String>) {
        let mut counts = self.lock();
        let count = counts.entry(key).or_insert_with(|| StartCount {
            job: key.task.job,
            index: key.task.index,
            attempt: key.attempt,
            starts: 0,
            finished: 0,
            traceparent: None,
        });
        count.starts += 1;
        count.traceparent = traceparent;
    }

    pub(crate) fn record_finish(&self, key: AttemptKey) {
        if let Some(count) = self.lock().get_mut(&key) {
            count.finished += 1;
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<StartCount> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<AttemptKey, StartCount>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
