use std::sync::Arc;

use rpc::OwnedPartition;
use types::{JobId, JobOutcome, Refusal, TaskKey};

use crate::{AttemptRef, FinishedRecord, Submission};

types::plain! {
    /// A job that has just ended.
    pub struct FinishedJob<W> {
        /// The job.
        pub id: JobId,
        /// Its outcome.
        pub outcome: Arc<JobOutcome>,
        /// Callers that wait for it.
        pub waiters: Vec<W>,
        /// Attempts to recall or stop.
        pub cancel: Vec<AttemptRef>,
        /// Record to write.
        pub record: FinishedRecord,
    }

    /// Why a message about an attempt has no effect.
    #[derive(Copy, Eq)]
    pub enum DropReason {
        /// The job is not in progress here.
        NoSuchJob,
        /// The job has no such task.
        NoSuchTask,
        /// The attempt is not the task's present one.
        OtherAttempt,
        /// The message answers a request of another epoch.
        OtherEpoch,
        /// The message comes from another upstream than the attempt was sent to.
        OtherUpstream,
    }

    /// What follows from the end of an attempt.
    pub enum AttemptEffects<W> {
        /// Nothing: the message is late or belongs to something else.
        Dropped(DropReason),
        /// The task is answered; others are not.
        Pending,
        /// The task is to be dispatched again.
        Dispatch(TaskKey),
        /// The agent knows a newer owner; read the claims before anything else.
        OwnerStale(OwnedPartition),
        /// The job has ended.
        Finished(FinishedJob<W>),
    }

    /// A job of a partition that was lost to a new owner.
    pub struct FencedJob<W> {
        /// The job.
        pub id: JobId,
        /// The submission, to forward to the new owner; absent for an orphaned job.
        pub submission: Option<Submission>,
        /// Callers that wait for it.
        pub waiters: Vec<W>,
        /// Refusal for them where it cannot be forwarded; it never claims that nothing
        /// ran, since the new owner may run another copy.
        pub refusal: Refusal,
    }
}
