use crate::{Answer, Failure};

crate::wire! {
    /// Final outcome of an accepted job; it is never partial.
    #[serde(rename_all = "snake_case")]
    pub enum JobOutcome {
        /// One answer for each task, in the order of the tasks.
        Complete {
            /// Answers of the tasks.
            answers: Vec<Answer>,
        },
        /// The job failed as a whole.
        Failed {
            /// Reason of the failure.
            failure: Failure,
            /// Whether it is certain that no task of the job ever started.
            not_run: bool,
        },
    }
}

impl JobOutcome {
    /// Returns whether every task has an answer.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }
}
