use std::fmt;

use crate::JobId;

crate::identifier! {
    /// Position of a task in its job, from 0.
    pub struct TaskIndex(pub u32);

    /// Number of a start of a task, from 1; retries of idempotent tasks count up.
    pub struct AttemptNumber(pub u16);

    /// Identity of a task within the deployment.
    pub struct TaskKey {
        /// The job that the task belongs to.
        pub job: JobId,
        /// The position of the task in the job.
        pub index: TaskIndex,
    }

    /// Identity of one attempt at a task.
    pub struct AttemptKey {
        /// The task.
        pub task: TaskKey,
        /// The number of the attempt.
        pub attempt: AttemptNumber,
    }
}

impl AttemptNumber {
    /// The first attempt at a task.
    pub const FIRST: Self = Self(1);

    /// Returns the attempt after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index.0)
    }
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt.0)
    }
}
