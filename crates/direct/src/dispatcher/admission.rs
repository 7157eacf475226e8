//! Which submissions are taken, and what is known of them at once.

use indexmap::IndexMap;

use crate::{
    DirectJob, JobOutcome, JobStep, RefusalReason,
    dispatcher::{
        Dispatcher, JobKey,
        job_state::{JobState, StepState},
    },
};

/// A submission that has not started is refused after this part of its objective, so that its
/// client learns of it in time. Source: the platform prices later refusals.
const LONGEST_WAIT_SHARE: f64 = 0.24;
/// Least time before a client is told to come back, milliseconds.
const LEAST_RETRY_AFTER_MS: u64 = 1_000;

impl Dispatcher {
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
        let wait_ms = (objective_ms as f64 * LONGEST_WAIT_SHARE) as u64;
        let steps = job
            .steps
            .iter()
            .map(|step| StepState { pending: (0..step.tasks).rev().collect(), open: step.tasks })
            .collect();
        JobState {
            arrived_ms: now_ms,
            objective_at_ms: now_ms + objective_ms,
            deadline_ms: now_ms + job.caller_timeout_ms,
            refuse_at_ms: now_ms + wait_ms,
            steps,
            histories: IndexMap::new(),
            under_way: 0,
            has_run: false,
            waiters: vec![key],
            job,
        }
    }

    /// Returns how a job ends that can run nowhere.
    pub(crate) fn hopeless(&self, job: &DirectJob, now_ms: u64) -> Option<JobOutcome> {
        // Without any, upstreams may be on their way to an entry that has just started.
        self.agents_of(&job.pool).next()?;
        let fits = |step: &JobStep| {
            self.agents_of(&job.pool).any(|(_, view)| {
                view.upstream.as_ref().is_some_and(|up| {
                    step.need.fits_in(up.capacity)
                        && step.label.as_ref().is_none_or(|label| up.labels.contains(label))
                })
            })
        };
        if job.steps.iter().all(fits) {
            return None;
        }
        // Upstreams that are away for a moment may fit it.
        let is_whole =
            self.agents_of(&job.pool).all(|(_, v)| v.is_open(now_ms, self.timing.silence_ms));
        Some(if is_whole { JobOutcome::Failed } else { self.refusal(RefusalReason::NoUpstream) })
    }

    pub(crate) fn refusal(&self, reason: RefusalReason) -> JobOutcome {
        JobOutcome::NotRun { reason, retry_after_ms: LEAST_RETRY_AFTER_MS }
    }
}
