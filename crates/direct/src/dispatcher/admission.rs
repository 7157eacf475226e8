//! Admission of submissions.

use indexmap::IndexMap;

use crate::{
    DirectJob, JobOutcome, JobStep, RefusalReason,
    dispatcher::{
        Dispatcher, JobKey,
        agent_view::AgentView,
        job_claim::JobClaim,
        job_state::{JobState, StepState},
    },
};

/// Share of its objective after which a job that has not started is refused while overload lasts: a
/// longer queue would start every job later and none more.
const MAX_WAIT_SHARE: f64 = 0.24;
/// The same while overload is brief: the backlog is worked off before it delays later jobs.
const MAX_BRIEF_WAIT_SHARE: f64 = 0.5;
/// Time after which a caller may resubmit a job that was refused for another reason than overload,
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl Dispatcher {
    /// Creates the state of a job that arrived now, with the times that follow from its objective.
    pub(crate) fn new_state(&mut self, mut job: DirectJob, key: JobKey, now_ms: u64) -> JobState {
        let have_estimates = self.complete_estimates(&mut job, now_ms);
        let age_ms = self.caller_ages.observe(&job);
        state_of(job, key, now_ms, age_ms, &have_estimates)
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
        // While some upstream is unavailable or smaller than it was, one that fits may come back:
        // the caller may resubmit.
        let fitted =
            |step: &JobStep| self.agents_of(&job.pool).any(|(_, view)| view.once_fitted(step));
        let is_temporary = job.steps.iter().all(fitted);
        let is_available =
            |view: &AgentView| view.is_open(now_ms, self.timing.silence_ms) || view.is_standby();
        let is_all_available = self.agents_of(&job.pool).all(|(_, view)| is_available(view));
        Some(if is_all_available && !is_temporary {
            JobOutcome::Failed
        } else {
            self.refusal(RefusalReason::NoUpstream)
        })
    }

    /// Returns the outcome of a job that is refused for another reason than overload.
    pub(crate) fn refusal(&self, reason: RefusalReason) -> JobOutcome {
        JobOutcome::NotRun { reason, retry_after_ms: RETRY_AFTER_MS }
    }

    /// Returns the outcome of a queued job that is refused because of overload.
    pub(crate) fn overload_refusal(&mut self, key: JobKey, now_ms: u64) -> JobOutcome {
        let reason = RefusalReason::Overloaded;
        let Some(state) = self.jobs.get(&key) else { return self.refusal(reason) };
        let retry_after_ms = self.returns.place(state.job.priority, state.work(), now_ms);
        JobOutcome::NotRun { reason, retry_after_ms }
    }
}

/// Returns the state of a job that arrived now, whose caller began to wait `age_ms` ago.
pub(crate) fn state_of(
    job: DirectJob,
    key: JobKey,
    now_ms: u64,
    age_ms: u64,
    have_estimates: &[bool],
) -> JobState {
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let chain_ms = (job.longest_chain_ms() as f64 * job.stretch) as u64;
    let objective_ms = chain_ms.saturating_add(job.allowance_ms);
    let share_ms = |share: f64| {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let share_ms = (objective_ms as f64 * share) as u64;
        share_ms
    };
    let steps = job
        .steps
        .iter()
        .zip(have_estimates)
        .map(|(step, has_estimate)| StepState {
            pending: (0..step.tasks).rev().collect(),
            unfinished: step.tasks,
            has_estimate: *has_estimate,
        })
        .collect();
    JobState {
        name: job.name(),
        tasks: job.tasks(),
        arrived_ms: now_ms,
        objective_ms,
        objective_at_ms: now_ms.saturating_add(objective_ms).saturating_sub(age_ms),
        is_late: age_ms.saturating_add(job.longest_chain_ms()) > objective_ms,
        deadline_ms: now_ms.saturating_add(job.caller_timeout_ms),
        refuse_at_ms: now_ms.saturating_add(share_ms(MAX_WAIT_SHARE)),
        refuse_at_brief_ms: now_ms.saturating_add(share_ms(MAX_BRIEF_WAIT_SHARE)),
        steps,
        histories: IndexMap::new(),
        outstanding: 0,
        has_run: false,
        waiters: vec![key],
        held_waiters: Vec::new(),
        claim: JobClaim::default(),
        job,
    }
}
