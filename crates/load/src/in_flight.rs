use std::sync::{Mutex, MutexGuard};

use indexmap::IndexMap;
use types::JobId;

/// Jobs in progress, and which of them the run has cancelled.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Maximum number of jobs in progress of one stream.
    limit: usize,
    jobs: Mutex<Jobs>,
}

#[derive(Debug)]
struct Jobs {
    by_id: IndexMap<JobId, InFlightJob>,
    count_by_stream: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
struct InFlightJob {
    stream: usize,
    is_cancelled: bool,
}

impl InFlight {
    pub(crate) fn new(limit: usize, streams: usize) -> Self {
        let jobs = Jobs { by_id: IndexMap::new(), count_by_stream: vec![0; streams] };
        Self { limit, jobs: Mutex::new(jobs) }
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Adds a job; returns false when its stream has reached the limit.
    pub(crate) fn add(&self, id: JobId, stream: usize) -> bool {
        let mut jobs = self.lock();
        if jobs.count_by_stream[stream] >= self.limit {
            return false;
        }
        jobs.count_by_stream[stream] += 1;
        jobs.by_id.insert(id, InFlightJob { stream, is_cancelled: false });
        true
    }

    /// Removes a job and returns whether it was cancelled.
    pub(crate) fn remove(&self, id: JobId) -> bool {
        let mut jobs = self.lock();
        let Some(job) = jobs.by_id.swap_remove(&id) else {
            return false;
        };
        jobs.count_by_stream[job.stream] -= 1;
        job.is_cancelled
    }

    /// Clears the mark of a job whose request to cancel was not confirmed.
    pub(crate) fn clear_cancelled(&self, id: JobId) {
        if let Some(job) = self.lock().by_id.get_mut(&id) {
            job.is_cancelled = false;
        }
    }

    /// Marks a percentage of the jobs in the selected streams as cancelled, and returns their ids.
    pub(crate) fn cancel(&self, percent: f64, is_selected: impl Fn(usize) -> bool) -> Vec<JobId> {
        const PERCENT: f64 = 100.0;
        let mut jobs = self.lock();
        let selected = jobs.by_id.values().filter(|job| is_selected(job.stream)).count();
        let count = (selected as f64 * percent / PERCENT).round() as usize;
        jobs.by_id
            .iter_mut()
            .filter(|(_, job)| is_selected(job.stream))
            .take(count)
            .map(|(id, job)| {
                job.is_cancelled = true;
                *id
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Jobs> {
        self.jobs.lock().expect("no holder of the lock panics")
    }
}
