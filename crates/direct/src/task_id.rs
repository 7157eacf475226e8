use std::{fmt, sync::Arc};

types::wire! {
    /// Identifies a task by its job, the step of the job and the position in the step.
    #[derive(Eq, Hash)]
    pub struct TaskId {
        /// Id of the job, chosen by the caller.
        pub job: Arc<str>,
        /// Position of the step in the job, from 0.
        pub step: u16,
        /// Position of the task in the step, from 0.
        pub index: u32,
    }
}

types::plain! {
    /// The tasks of a job.
    #[derive(Eq)]
    pub struct JobTasks {
        /// Id of the job, chosen by the caller.
        pub job: Arc<str>,
        /// Number of tasks of each step.
        pub steps: Arc<[u32]>,
    }
}

impl JobTasks {
    /// Returns the number of tasks.
    pub fn count(&self) -> u64 {
        self.steps.iter().map(|tasks| u64::from(*tasks)).sum()
    }

    /// Returns the ids of the tasks in order.
    pub fn ids(&self) -> impl Iterator<Item = TaskId> + '_ {
        let steps = (0..).zip(self.steps.iter());
        steps.flat_map(move |(step, tasks)| {
            (0..*tasks).map(move |index| TaskId { job: Arc::clone(&self.job), step, index })
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}
