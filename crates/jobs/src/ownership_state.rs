use ports::Offset;
use rpc::{EntryIdentity, OwnedPartition};
use types::{Partition, PartitionCount};

use crate::{
    Claim, ClaimRecord, OwnershipError, OwnershipSnapshot, PartitionClaim, PartitionState, Release,
    Tenure,
};

types::wire! {
    /// A record of the claim stream with its offset.
    pub struct PositionedClaim {
        /// Offset in the stream.
        pub offset: Offset,
        /// The record.
        pub record: ClaimRecord,
    }
}

types::plain! {
    /// Owner and epoch of every partition, computed by applying the claim stream in log order.
    pub struct OwnershipState {
        next_offset: Offset,
        partitions: Vec<PartitionState>,
    }
}

impl OwnershipState {
    /// Creates the state of a deployment before its first claim.
    pub fn new(count: PartitionCount) -> Self {
        let partitions = count.iter().map(|_| PartitionState::default()).collect();
        Self { next_offset: Offset::default(), partitions }
    }

    /// Computes the state from all records that the log retains, the first of them at `oldest`.
    ///
    /// # Errors
    ///
    /// [`OwnershipError::NoSnapshot`] when earlier records were truncated and no retained
    /// snapshot covers them, and [`OwnershipError::PartitionCount`] when that snapshot has
    /// another number of partitions than `count`.
    pub fn recover(
        count: PartitionCount,
        oldest: Offset,
        records: &[PositionedClaim],
    ) -> Result<Self, OwnershipError> {
        let mut state = match oldest {
            Offset(0) => Self::new(count),
            _ => Self::from_first_snapshot(count, oldest, records)?,
        };
        for positioned in records {
            state.apply(positioned);
        }
        Ok(state)
    }

    fn from_first_snapshot(
        count: PartitionCount,
        oldest: Offset,
        records: &[PositionedClaim],
    ) -> Result<Self, OwnershipError> {
        let (offset, snapshot) = records
            .iter()
            .find_map(|positioned| match &positioned.record {
                ClaimRecord::Snapshot(snapshot) if snapshot.next_offset >= oldest => {
                    Some((positioned.offset, snapshot))
                }
                _ => None,
            })
            .ok_or(OwnershipError::NoSnapshot { oldest })?;
        let found = snapshot.partitions.len();
        if found != usize::from(count.0) {
            return Err(OwnershipError::PartitionCount { offset, expected: count.0, found });
        }
        Ok(Self { next_offset: snapshot.next_offset, partitions: snapshot.partitions.clone() })
    }

    /// Applies one record and returns the partitions that it gave a new owner, with their new
    /// epochs. Records before [`OwnershipState::next_offset`] are ignored, so that a record may
    /// be applied twice.
    pub fn apply(&mut self, positioned: &PositionedClaim) -> Vec<OwnedPartition> {
        if positioned.offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = positioned.offset.next();
        match &positioned.record {
            ClaimRecord::Claim(claim) => self.claim(claim),
            ClaimRecord::Release(release) => {
                self.release(release);
                Vec::new()
            }
            ClaimRecord::Snapshot(_) => Vec::new(),
        }
    }

    fn claim(&mut self, claim: &Claim) -> Vec<OwnedPartition> {
        claim.partitions.iter().filter_map(|part| self.claim_partition(claim, *part)).collect()
    }

    fn claim_partition(&mut self, claim: &Claim, part: PartitionClaim) -> Option<OwnedPartition> {
        let state = self.partitions.get_mut(usize::from(part.partition.0))?;
        if state.epoch() != part.replaces {
            return None;
        }
        let epoch = state.claim(&claim.owner, claim.claimed_ms);
        Some(OwnedPartition { partition: part.partition, epoch })
    }

    fn release(&mut self, release: &Release) {
        for part in &release.partitions {
            if let Some(state) = self.partitions.get_mut(usize::from(part.partition.0)) {
                state.release(&release.owner, part.epoch);
            }
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the state of a partition, or `None` if there is no such partition.
    pub fn get(&self, partition: Partition) -> Option<&PartitionState> {
        self.partitions.get(usize::from(partition.0))
    }

    /// Iterates over all partitions in order.
    pub fn iter(&self) -> impl Iterator<Item = (Partition, &PartitionState)> {
        (0..).map(Partition).zip(&self.partitions)
    }

    /// Lists the partitions that an entry owns and has not released, with their epochs.
    pub fn owned_by(&self, entry: &EntryIdentity) -> Vec<OwnedPartition> {
        self.iter()
            .filter(|(_, state)| state.owner() == Some(entry))
            .map(|(partition, state)| OwnedPartition { partition, epoch: state.epoch() })
            .collect()
    }

    /// Lists the previous tenures of a partition, oldest first. A new owner reads the job
    /// records of each.
    pub fn previous_tenures(&self, partition: Partition) -> &[Tenure] {
        self.get(partition).map_or(&[], |state| &state.previous)
    }

    /// Removes previous tenures that ended before a time in Unix milliseconds. Current owners
    /// and epochs are unchanged.
    pub fn trim(&mut self, ended_before_ms: u64) {
        for state in &mut self.partitions {
            state.trim(ended_before_ms);
        }
    }

    /// Returns a snapshot to append to the claim stream before retention removes its oldest
    /// records.
    pub fn snapshot(&self) -> OwnershipSnapshot {
        OwnershipSnapshot { next_offset: self.next_offset, partitions: self.partitions.clone() }
    }
}
