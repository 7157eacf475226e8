use rpc::TaskResult;
use types::{AttemptKey, Epoch, UpstreamName};

types::plain! {
    /// The end of an attempt, as the answer to one request.
    pub struct AttemptResult {
        /// The attempt.
        pub key: AttemptKey,
        /// Epoch of the request.  A former tenure of the same entry may have used the
        /// same key.
        pub epoch: Epoch,
        /// Upstream that the request went to.
        pub upstream: UpstreamName,
        /// What became of the attempt.
        pub result: TaskResult,
    }
}
