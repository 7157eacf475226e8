use ports::Offset;

use crate::PartitionState;

types::wire! {
    /// Ownership of all partitions after all claims before one offset.
    pub struct OwnershipSnapshot {
        /// Offset of the first record that the snapshot does not include.
        #[serde(rename = "next")]
        pub next_offset: Offset,
        /// State of each partition, in order of partition number.
        pub partitions: Vec<PartitionState>,
    }
}
