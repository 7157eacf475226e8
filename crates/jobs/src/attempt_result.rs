use rpc::TaskResult;
use types::{AttemptKey, Epoch, UpstreamName};

types::plain! {
    /// The result of an attempt, as received in reply to one request.
    pub struct AttemptResult {
        /// The attempt.
        pub key: AttemptKey,
        /// Epoch of the request. An earlier tenure of the same entry may have used the same
        /// key.
        pub epoch: Epoch,
        /// Upstream that the request was sent to.
        pub upstream: UpstreamName,
        /// Result of the attempt.
        pub result: TaskResult,
    }
}
