use types::{JobId, TaskIndex};

use crate::AttemptRef;

types::plain! {
    /// How one task of an orphaned job continues.
    pub enum ResumeStep {
        /// It never started and is dispatched.
        Dispatch(TaskIndex),
        /// It waits or runs; the same attempt is sent again to the same agent.
        JoinAttempt(AttemptRef),
        /// It was answered.
        AlreadyAnswered(TaskIndex),
    }

    /// How an orphaned job continues: one step for each task, in order.
    pub struct ResumePlan {
        /// The job.
        pub id: JobId,
        /// Steps of the tasks.
        pub steps: Vec<ResumeStep>,
    }
}
