use types::{AttemptKey, Resources};

use crate::{LoadReport, TaskResult};

types::wire! {
    /// Reply to [`crate::TaskStart`], sent when the attempt has ended.
    pub struct TaskReply {
        /// The attempt.
        pub key: AttemptKey,
        /// Result of the attempt.
        pub result: TaskResult,
        /// Time that the attempt spent in the agent's queue, in microseconds.
        pub queued_us: u64,
        /// Change in the number of slots offered to the entry since the last report to it.
        pub offers: i32,
        /// Load of the agent when it replied.
        pub load: LoadReport,
        /// Latest resource usage that the upstream reported for the attempt; it may lag behind the
        /// actual usage, and is `None` if the upstream reported none.
        pub usage: Option<Resources>,
    }
}
