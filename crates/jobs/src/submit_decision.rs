use std::sync::Arc;

use types::{JobOutcome, Refusal};

use crate::{JobRecord, ResumePlan};

types::plain! {
    /// What the owner does with a submission.
    pub enum SubmitDecision {
        /// A new job.  Its record is to be written; tasks may start at once when its
        /// acceptance is [`services::Acceptance::Behind`], and otherwise after
        /// [`crate::JobTable::mark_recorded`].
        Start(JobRecord),
        /// The job is in progress.
        Join,
        /// The job has ended.
        Finished(Arc<JobOutcome>),
        /// The job was found at a takeover and continues.
        Resume(ResumePlan),
        /// The submission is refused.
        Refuse(Refusal),
        /// This table does not own the partition; forward the submission.
        NotOwner,
    }
}
