use std::sync::Arc;

use indexmap::IndexMap;
use types::Resources;

use crate::{
    DirectJob,
    dispatcher::{AgentKey, JobKey},
};

/// What has become of one task of a job so far.
#[derive(Debug, Default)]
pub(crate) struct TaskHistory {
    pub(crate) runs: u32,
    pub(crate) failures: u16,
    /// Upstreams on which it failed.
    pub(crate) avoided: Vec<AgentKey>,
}

#[derive(Debug)]
pub(crate) struct StepState {
    /// Positions of tasks that are to be started, the next one last.
    pub(crate) pending: Vec<u32>,
    /// Tasks that have not ended well.
    pub(crate) open: u32,
}

/// A job that has not been answered.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: DirectJob,
    pub(crate) arrived_ms: u64,
    pub(crate) objective_at_ms: u64,
    pub(crate) deadline_ms: u64,
    /// When it is refused unless a task has started.
    pub(crate) refuse_at_ms: u64,
    pub(crate) steps: Vec<StepState>,
    pub(crate) histories: IndexMap<(u16, u32), TaskHistory>,
    /// Orders whose outcome is awaited.
    pub(crate) under_way: u32,
    /// Whether an order has ended with more than a denial.
    pub(crate) has_run: bool,
    /// Submissions that wait for the end; the first one is the job's own.
    pub(crate) waiters: Vec<JobKey>,
}

impl JobState {
    /// Returns steps with tasks to start whose earlier steps have all ended well.
    pub(crate) fn eligible_steps(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.steps.len()).filter(|&i| self.is_eligible(i)).filter_map(|i| u16::try_from(i).ok())
    }

    fn is_eligible(&self, step: usize) -> bool {
        let ended = |&i: &u16| self.steps.get(usize::from(i)).is_some_and(|s| s.open == 0);
        !self.steps[step].pending.is_empty() && self.job.steps[step].after.iter().all(ended)
    }

    /// Returns the least that any step needs for a task, in each dimension by itself.
    pub(crate) fn least_need(&self) -> Resources {
        let needs = self.job.steps.iter().map(|step| step.need);
        needs.reduce(Resources::min_each).unwrap_or_default()
    }

    /// Returns whether a task has started, or has been ordered and not denied.
    pub(crate) fn may_have_run(&self) -> bool {
        self.has_run || self.under_way > 0
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.open == 0)
    }

    pub(crate) fn id(&self) -> &Arc<str> {
        &self.job.id
    }
}
