use ports::Offset;
use thiserror::Error;

/// Why ownership cannot be folded from the stream of claims.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OwnershipError {
    /// The log has cut records that no kept snapshot replaces.
    #[error("claims before offset {oldest} are cut and no kept snapshot replaces them")]
    NoSnapshot {
        /// Oldest offset that the log keeps.
        oldest: Offset,
    },
    /// A snapshot was written for another number of partitions.
    #[error("snapshot at offset {offset} has {found} partitions instead of {expected}")]
    PartitionCount {
        /// Offset of the snapshot.
        offset: Offset,
        /// Partitions of the deployment.
        expected: u16,
        /// Partitions of the snapshot.
        found: usize,
    },
}
