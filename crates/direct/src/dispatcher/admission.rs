//! Admission of submissions.

use indexmap::IndexMap;

use crate::{
    DirectJob, JobOutcome, JobStep, RefusalReason,
    dispatcher::{
        Dispatcher, JobKey,
        agent_view::AgentView,
        job_state::{JobState, StepState},
    },
};

/// Share of its objective after which a job that has not started is refused, so that the caller
/// learns of it in time: the platform penalises later refusals.
const MAX_WAIT_SHARE: f64 = 0.24;
/// Time after which a refused caller may resubmit, milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

impl Dispatcher {
    /// Creates the state of a job that arrived now, with the times that follow from its objective.
    pub(crate) fn new_state(&self, job: DirectJob, key: JobKey, now_ms: u64) -> JobState {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let chain_ms = (job.longest_chain_ms() as f64 * job.stretch) as u64;
        let objective_ms = chain_ms + job.allowance_ms;
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let wait_ms = (objective_ms as f64 * MAX_WAIT_SHARE) as u64;
        let steps = job
            .steps
            .iter()
            .map(|step| StepState {
                pending: (0..step.tasks).rev().collect(),
                unfinished: step.tasks,
            })
            .collect();
        JobState {
            arrived_ms: now_ms,
            objective_at_ms: now_ms + objective_ms,
            deadline_ms: now_ms + job.caller_timeout_ms,
            refuse_at_ms: now_ms + wait_ms,
            steps,
            histories: IndexMap::new(),
            outstanding: 0,
            has_run: false,
            waiters: vec![key],
            job,
        }
    }

    /// Returns the outcome of a job of which some step fits no known upstream of the pool; `None`
    /// if the job can run.
    pub(crate) fn unplaceable_outcome(&self, job: &DirectJob, now_ms: u64) -> Option<JobOutcome> {
        // Without a known upstream the job waits: the agents may not have connected yet to an entry
        // that has just started.
        self.agents_of(&job.pool).next()?;
        let fits = |step: &JobStep| self.agents_of(&job.pool).any(|(_, view)| view.fits(step));
        if job.steps.iter().all(fits) {
            return None;
        }
        // While some upstream is unavailable, one that fits may come back: the caller may resubmit.
        let is_available =
            |view: &AgentView| view.is_open(now_ms, self.timing.silence_ms) || view.is_standby();
        let is_all_available = self.agents_of(&job.pool).all(|(_, view)| is_available(view));
        Some(if is_all_available {
            JobOutcome::Failed
        } else {
            self.refusal(RefusalReason::NoUpstream)
        })
    }

    /// Returns the outcome of a refused job.
    pub(crate) fn refusal(&self, reason: RefusalReason) -> JobOutcome {
        JobOutcome::NotRun { reason, retry_after_ms: MIN_RETRY_AFTER_MS }
    }
}
