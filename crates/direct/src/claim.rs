//! Claims of jobs by their ids, between an entry and the agent that keeps them.
//!
//! A caller that has gone may have sent its job to another entry, and the end of its connection may
//! be under way for any time. So each entry claims a job at the same agent before the job starts.

use crate::JobName;

types::identifier! {
    /// Identifies a claim; unique within the entry's incarnation.
    pub struct ClaimId(pub u64);
}

types::wire! {
    /// Claim of a job, also one that is renewed.
    #[derive(Eq)]
    pub struct Claim {
        /// Id of the claim.
        pub id: ClaimId,
        /// The job.
        pub job: JobName,
        /// Whether tasks of the job may run at this entry now.
        pub is_running: bool,
    }

    /// News of an agent about a claim that it keeps.
    #[derive(Copy, Eq)]
    pub enum ClaimNews {
        /// No other entry has the job, so it may start.
        Granted(ClaimId),
        /// Another entry has the job, which must not start before this claim is granted.
        Contested(ClaimId),
        /// Another entry had the job until its end; the job has this outcome.
        Shared(ClaimId, ClaimEnd),
        /// Another entry claims the job. The holder renews the claim while it has the job, and
        /// reports its end.
        Asked(ClaimId),
        /// A caller has cancelled the job at another entry.
        Cancelled(ClaimId),
        /// Like `Asked`, and tasks of the job may run at the other entry: a holder that waits
        /// elsewhere leaves the job to it.
        AskedByRunning(ClaimId),
    }

    /// How the holder of a claim has ended its job. No run of the job is left at its agents.
    #[derive(Copy, Eq)]
    pub enum ClaimEnd {
        /// The job may start at another entry.
        Released,
        /// Every task succeeded.
        Succeeded,
        /// The job failed.
        Failed,
        /// A caller has cancelled the job.
        Cancelled,
    }
}

impl ClaimEnd {
    /// Returns the name of the end in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
