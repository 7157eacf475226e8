use std::sync::Arc;

use rpc::OwnedPartition;
use types::{Digest, JobId, JobOutcome, Payload, TeamName};

use crate::{AmbiguousPeriod, AttemptRef, JobRecord, JobTerms, ResumePlan, task::Task};

types::plain! {
    /// A partition that is ready to be served.
    pub struct RestoredPartition {
        /// The partition with the new epoch.
        pub owned: OwnedPartition,
        /// Creation times of ids that may have run although no record tells so.
        pub ambiguous_periods: Vec<AmbiguousPeriod>,
    }

    /// An accepted job that has not ended.
    pub struct RestoredJob {
        pub(crate) terms: JobTerms,
        pub(crate) owned: OwnedPartition,
        pub(crate) payloads: Option<Vec<Payload>>,
        pub(crate) tasks: Vec<Task>,
        pub(crate) possible_starts: u32,
    }

    /// A job that has ended.
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
        /// Accepted jobs that have not ended.
        pub jobs: Vec<RestoredJob>,
        /// Jobs that have ended.
        pub finished: Vec<RestoredFinishedJob>,
        /// Jobs that an agent started and no record names.
        pub unrecorded: Vec<JobId>,
        /// Attempts of such jobs that wait or run, to recall.
        pub recall: Vec<AttemptRef>,
        /// Records of the jobs that ended by the takeover, to write.
        pub records: Vec<JobRecord>,
    }

    /// What follows from [`crate::JobTable::restore`].
    #[derive(Default)]
    pub struct RestoreEffects {
        /// Jobs whose payloads the log kept; they continue without a resubmission.
        pub resume: Vec<ResumePlan>,
        /// Attempts to recall.
        pub recall: Vec<AttemptRef>,
        /// Records to write.
        pub records: Vec<JobRecord>,
    }
}
