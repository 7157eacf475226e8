//! State that a takeover hands over to the job table of the new owner.

use std::sync::Arc;

use rpc::OwnedPartition;
use types::{Digest, JobId, JobOutcome, Payload, TeamName};

use crate::{AmbiguousPeriod, AttemptRef, JobRecord, JobTerms, ResumePlan, task::Task};

types::plain! {
    /// A partition that the new owner may serve.
    pub struct RestoredPartition {
        /// The partition with the new epoch.
        pub owned: OwnedPartition,
        /// Creation times of job ids that may have run without a record.
        pub ambiguous_periods: Vec<AmbiguousPeriod>,
    }

    /// An accepted job that has not finished.
    pub struct RestoredJob {
        pub(crate) terms: JobTerms,
        pub(crate) owned: OwnedPartition,
        pub(crate) payloads: Option<Vec<Payload>>,
        pub(crate) tasks: Vec<Task>,
        pub(crate) possible_starts: u32,
    }

    /// A finished job; its outcome is `None` if the agents do not hold all its answers.
    pub struct RestoredFinishedJob {
        pub(crate) id: JobId,
        pub(crate) team: TeamName,
        pub(crate) digest: Digest,
        pub(crate) outcome: Option<Arc<JobOutcome>>,
    }

    /// Result of a [`crate::Takeover`].
    #[derive(Default)]
    pub struct RestoredState {
        /// Partitions that are served from now on.
        pub partitions: Vec<RestoredPartition>,
        /// Accepted jobs that have not finished.
        pub jobs: Vec<RestoredJob>,
        /// Finished jobs.
        pub finished: Vec<RestoredFinishedJob>,
        /// Jobs that an agent may have started and that no record names.
        pub unrecorded: Vec<JobId>,
        /// Queued or running attempts of jobs that will not continue, to recall.
        pub recall: Vec<AttemptRef>,
        /// Records to write: the start of service, and the jobs that the takeover finished.
        pub records: Vec<JobRecord>,
    }

    /// What the caller of [`crate::JobTable::restore`] has to do.
    #[derive(Default)]
    pub struct RestoreEffects {
        /// Jobs whose payloads were recorded; they continue without a resubmission.
        pub resume: Vec<ResumePlan>,
        /// Attempts to recall.
        pub recall: Vec<AttemptRef>,
        /// Records to write to the log.
        pub records: Vec<JobRecord>,
    }
}
