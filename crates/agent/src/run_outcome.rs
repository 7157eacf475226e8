use rpc::TaskResult;
use types::Resources;

types::plain! {
    /// Outcome of a run on the upstream.
    pub(crate) struct RunOutcome {
        /// Result of the attempt.
        pub(crate) result: TaskResult,
        /// Latest resource usage that the upstream reported for the attempt, if any.
        pub(crate) usage: Option<Resources>,
    }
}

impl From<TaskResult> for RunOutcome {
    fn from(result: TaskResult) -> Self {
        Self { result, usage: None }
    }
}
