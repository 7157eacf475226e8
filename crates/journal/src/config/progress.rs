use std::sync::Arc;

use ports::Offset;
use services::ConfigState;

types::plain! {
    /// How far a process has read the configuration stream.
    #[derive(Default)]
    pub struct ConfigProgress {
        /// State after the records read so far.
        pub state: Arc<ConfigState>,
        /// Offset of the first record that the state does not include.
        pub resume_from: Offset,
        /// Whether records are missing and no snapshot has replaced them yet.
        pub is_recovering: bool,
        /// Whether the last read reached the end of the stream.
        pub is_caught_up: bool,
        /// Patches read since the latest snapshot.
        pub changes_since_snapshot: u32,
        /// Snapshots read.
        pub snapshots: u64,
    }
}

impl ConfigProgress {
    /// Returns whether the state includes the whole stream and the stream is not empty, so
    /// that a snapshot is correct and of use to other processes.
    pub(crate) fn can_snapshot(&self) -> bool {
        self.is_caught_up && !self.is_recovering && self.resume_from > Offset::default()
    }
}
