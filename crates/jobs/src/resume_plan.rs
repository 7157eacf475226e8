use types::{JobId, TaskIndex};

use crate::AttemptRef;

types::plain! {
    /// How one task of a job that was restored at a takeover continues.
    pub enum ResumeStep {
        /// No attempt is in progress; the task is dispatched.
        Dispatch(TaskIndex),
        /// An attempt is queued or running; the same attempt is sent again to the same agent.
        JoinAttempt(AttemptRef),
        /// The task is answered already.
        AlreadyAnswered(TaskIndex),
    }

    /// How a job that was restored at a takeover continues: one step for each task, in order.
    pub struct ResumePlan {
        /// The job.
        pub id: JobId,
        /// Steps of the tasks.
        pub steps: Vec<ResumeStep>,
    }
}
