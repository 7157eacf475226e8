use thiserror::Error;

use crate::UpstreamName;

crate::wire! {
    /// Reason why an accepted job has no complete answer.
    #[derive(Eq, Error)]
    #[serde(rename_all = "snake_case")]
    pub enum Failure {
        /// The deadline passed before every task was answered.
        #[error("deadline passed before every task was answered")]
        DeadlineExceeded,
        /// The caller cancelled the job.
        #[error("cancelled by the caller")]
        Cancelled,
        /// A task failed on each of the attempts that its kind allows.
        #[error("task {index} failed on upstream {upstream}: {message}")]
        TaskFailed {
            /// Position of the task in the job.
            index: u32,
            /// Upstream of the last attempt.
            upstream: UpstreamName,
            /// Error message of the upstream.
            message: String,
        },
        /// A task may have started and its outcome cannot be determined.
        #[error("task {index} may have run and its outcome is unknown")]
        OutcomeUnknown {
            /// Position of the task in the job.
            index: u32,
        },
        /// The job was accepted but its payload was lost before any task started.
        #[error("the owner of the job was lost before it was finished; submit it again")]
        Interrupted,
        /// No remaining upstream may serve the job.
        #[error("no upstream can serve the job")]
        NoUpstream,
    }
}
