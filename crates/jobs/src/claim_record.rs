//! Records of the claim stream, which decide who owns which partition.

use rpc::{EntryIdentity, OwnedPartition};
use types::{Epoch, Partition};

use crate::OwnershipSnapshot;

types::wire! {
    /// A partition and the epoch that a claim replaces.
    #[derive(Copy, Eq)]
    pub struct PartitionClaim {
        /// The partition.
        pub partition: Partition,
        /// Epoch that the claimant read. The claim takes effect only if this epoch is still
        /// current when the record is applied.
        pub replaces: Epoch,
    }

    /// Claim of partitions by one entry. Each partition is decided independently.
    pub struct Claim {
        /// The claimant.
        pub owner: EntryIdentity,
        /// Partitions with the epochs that they had when the claim was written.
        pub partitions: Vec<PartitionClaim>,
        /// Time of the claim on the wall clock of the claimant, in Unix milliseconds.
        pub claimed_ms: u64,
    }

    /// Release of partitions by their owner. The owner starts no more attempts for them, and
    /// all job records of its epochs are durable.
    pub struct Release {
        /// The owner.
        pub owner: EntryIdentity,
        /// Partitions with the epochs of the owner.
        pub partitions: Vec<OwnedPartition>,
    }

    /// A record of the claim stream.
    pub enum ClaimRecord {
        /// An entry claims partitions.
        Claim(Claim),
        /// An owner releases partitions, at a planned handover.
        Release(Release),
        /// Ownership at one offset; replaces earlier records, which retention is about to
        /// remove.
        Snapshot(OwnershipSnapshot),
    }
}
