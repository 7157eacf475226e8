//! Results of job table operations that the caller has to act on.

use std::sync::Arc;

use rpc::OwnedPartition;
use types::{JobId, JobOutcome, Refusal, TaskKey};

use crate::{AttemptRef, FinishedRecord, Submission};

types::plain! {
    /// A job that has just finished, with what is left to do for it.
    pub struct FinishedJob<W> {
        /// The job.
        pub id: JobId,
        /// Its outcome.
        pub outcome: Arc<JobOutcome>,
        /// Callers that wait for the outcome.
        pub waiters: Vec<W>,
        /// Attempts still in progress, to recall or stop.
        pub cancel: Vec<AttemptRef>,
        /// Record to write to the log.
        pub record: FinishedRecord,
    }

    /// Why the result of an attempt has no effect.
    #[derive(Copy, Eq)]
    pub enum DropReason {
        /// The job is not in progress here.
        NoSuchJob,
        /// The job has no such task.
        NoSuchTask,
        /// The attempt is not the current one of its task.
        OtherAttempt,
        /// The request was sent under another epoch.
        OtherEpoch,
        /// The result comes from another upstream than the attempt was sent to.
        OtherUpstream,
    }

    /// What the caller has to do after the result of an attempt.
    pub enum AttemptEffects<W> {
        /// Nothing: the result does not concern a current attempt.
        Dropped(DropReason),
        /// Nothing: the task is answered, and other tasks of the job are not.
        Pending,
        /// Dispatch the task again.
        Dispatch(TaskKey),
        /// The agent knows a newer owner of the partition; read the claims before anything
        /// else.
        OwnerStale(OwnedPartition),
        /// The job has finished.
        Finished(FinishedJob<W>),
    }

    /// A job in progress of a partition that has a new owner.
    pub struct FencedJob<W> {
        /// The job.
        pub id: JobId,
        /// The submission, to forward to the new owner; `None` for an orphaned job, whose
        /// payloads are unknown.
        pub submission: Option<Submission>,
        /// Callers that wait for it.
        pub waiters: Vec<W>,
        /// Refusal for the waiting callers if the job cannot be forwarded. It never claims that
        /// nothing ran, since the new owner may run another submission of the same job.
        pub refusal: Refusal,
    }
}
