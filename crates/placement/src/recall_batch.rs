use types::AttemptKey;

use crate::UpstreamIndex;

types::plain! {
    /// Attempts to recall from one upstream in one message.
    #[derive(Eq)]
    pub struct RecallBatch {
        /// Upstream that the message is sent to.
        pub upstream: UpstreamIndex,
        /// Attempts to recall.
        pub keys: Vec<AttemptKey>,
    }
}
