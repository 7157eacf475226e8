use std::sync::Arc;

use types::{JobOutcome, Refusal};

use crate::{JobRecord, ResumePlan};

types::plain! {
    /// How the owner handles a submission.
    pub enum SubmitDecision {
        /// The job is new, and its acceptance record is to be written. Tasks may start at once
        /// if its acceptance is [`services::Acceptance::Behind`], and otherwise after
        /// [`crate::JobTable::mark_recorded`].
        Start(JobRecord),
        /// The job is in progress; the submission joins it.
        Join,
        /// The job has finished with this outcome.
        Finished(Arc<JobOutcome>),
        /// The job was restored at a takeover and continues with the payloads of this
        /// submission.
        Resume(ResumePlan),
        /// The submission is refused.
        Refuse(Refusal),
        /// This table does not own the partition; forward the submission.
        NotOwner,
    }
}
