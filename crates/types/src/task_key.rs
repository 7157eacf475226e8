use std::fmt;

use crate::JobId;

crate::identifier! {
    /// Position of a task in its job, from 0.
    pub struct TaskIndex(pub u32);

    /// Number of an attempt at a task, from 1; each retry of an idempotent task has the
    /// next one.
    pub struct AttemptNumber(pub u16);

    /// Identity of a task within the deployment.
    pub struct TaskKey {
        /// Job that the task belongs to.
        pub job: JobId,
        /// Position of the task in the job.
        pub index: TaskIndex,
    }

    /// Identity of one attempt at a task.
    pub struct AttemptKey {
        /// Task of the attempt.
        pub task: TaskKey,
        /// Number of the attempt.
        pub attempt: AttemptNumber,
    }
}

impl AttemptNumber {
    /// Number of the first attempt.
    pub const FIRST: Self = Self(1);

    /// Returns the number of the attempt after this one.
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
