//! Records of the job streams, of which every incarnation of an entry writes one.

use rpc::OwnedPartition;
use types::{Digest, Epoch, JobId, JobOutcome, Payload, TeamName};

use crate::JobTerms;

types::wire! {
    /// Record of the acceptance of a job.
    pub struct AcceptedRecord {
        /// Terms of the job.
        pub terms: JobTerms,
        /// Partition of the job and the epoch of its owner.
        pub owned: OwnedPartition,
        /// Payloads of the tasks, for a small job whose caller does not wait; such a job can
        /// continue after a takeover without a resubmission.
        pub payloads: Option<Vec<Payload>>,
    }

    /// Record of the end of a job.
    #[derive(Eq)]
    pub struct FinishedRecord {
        /// Identifier of the job.
        pub id: JobId,
        /// Team of the caller.
        pub team: TeamName,
        /// Digest of service, kind and task payloads.
        pub digest: Digest,
        /// Epoch under which the job finished.
        pub epoch: Epoch,
        /// Class of the outcome.
        pub class: OutcomeClass,
    }

    /// Class of a job's outcome.
    #[derive(Copy, Eq)]
    pub enum OutcomeClass {
        /// Every task was answered.
        Complete,
        /// The job failed and some task may have started.
        Failed,
        /// The job failed and no task started.
        FailedNotRun,
    }

    /// Record of the start of service for partitions after a takeover.
    #[derive(Eq)]
    pub struct ServedRecord {
        /// Partitions with the epochs of the new owner.
        pub owned: Vec<OwnedPartition>,
        /// Time in Unix milliseconds. The new owner did not serve the partitions before it, and
        /// no previous owner started anything after it.
        pub serve_from_ms: u64,
    }

    /// A record in the stream of one incarnation of an entry.
    pub enum JobRecord {
        /// A job was accepted.
        Accepted(AcceptedRecord),
        /// A job finished.
        Finished(FinishedRecord),
        /// A takeover finished, and service began.
        Served(ServedRecord),
        /// Every job accepted before a time is recorded before this record.
        Marked {
            /// The time in Unix milliseconds.
            at_ms: u64,
        },
    }
}

impl OutcomeClass {
    /// Returns the class of an outcome.
    pub fn of(outcome: &JobOutcome) -> Self {
        match outcome {
            JobOutcome::Complete { .. } => Self::Complete,
            JobOutcome::Failed { not_run: true, .. } => Self::FailedNotRun,
            JobOutcome::Failed { not_run: false, .. } => Self::Failed,
        }
    }
}
