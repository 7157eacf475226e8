use ports::Offset;

use crate::PartitionState;

types::wire! {
    /// Ownership of all partitions as folded from the claims before one offset.
    pub struct OwnershipSnapshot {
        /// Offset of the first record that is not folded in.
        #[serde(rename = "next")]
        pub next_offset: Offset,
        /// Partitions in order.
        pub partitions: Vec<PartitionState>,
    }
}
