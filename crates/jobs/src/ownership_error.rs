use ports::Offset;
use thiserror::Error;

/// Why the ownership of partitions cannot be computed from the claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OwnershipError {
    /// Retention has removed records that no retained snapshot covers.
    #[error("claims before offset {oldest} were removed and no retained snapshot covers them")]
    NoSnapshot {
        /// Oldest offset that the log retains.
        oldest: Offset,
    },
    /// A snapshot was written for another number of partitions.
    #[error("snapshot at offset {offset} has {found} partitions instead of {expected}")]
    PartitionCount {
        /// Offset of the snapshot.
        offset: Offset,
        /// Number of partitions of the deployment.
        expected: u16,
        /// Number of partitions in the snapshot.
        found: usize,
    },
}
