use std::sync::Arc;

use ports::Offset;
use services::ConfigState;

types::plain! {
    /// How far a process has followed the configuration stream.
    #[derive(Default)]
    pub struct ConfigProgress {
        /// State that the records read so far lead to.
        pub state: Arc<ConfigState>,
        /// Offset of the first record that the state does not include.
        pub resume_from: Offset,
        /// Whether records are missing and no snapshot has replaced them yet.
        pub is_recovering: bool,
        /// Whether the end of the stream was reached by the last read.
        pub is_caught_up: bool,
        /// Patches read since the latest snapshot.
        pub changes_since_snapshot: u32,
        /// Snapshots read.
        pub snapshots: u64,
    }
}

impl ConfigProgress {
    /// Returns whether a snapshot of the state is true and useful to others.
    pub(crate) fn can_snapshot(&self) -> bool {
        self.is_caught_up && !self.is_recovering && self.resume_from > Offset::default()
    }
}
