use indexmap::IndexMap;
use types::JobId;

use crate::job_history::JobHistory;

const MAX_JOBS: usize = 256;

/// Histories of the jobs that recently had bad outcomes.  Their number is bounded: once it
/// is reached, each new history replaces an existing one in turn.
#[derive(Debug, Default)]
pub(crate) struct JobHistories {
    jobs: IndexMap<JobId, JobHistory>,
    next_evicted: usize,
}

impl JobHistories {
    pub(crate) fn get_mut(&mut self, job: JobId) -> Option<&mut JobHistory> {
        self.jobs.get_mut(&job)
    }

    pub(crate) fn get_or_insert(&mut self, job: JobId) -> &mut JobHistory {
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            self.jobs.swap_remove_index(self.next_evicted);
            self.next_evicted = (self.next_evicted + 1) % MAX_JOBS;
        }
        self.jobs.entry(job).or_default()
    }
}
