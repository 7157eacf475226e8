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

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}
