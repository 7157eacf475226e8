use ports::Offset;
use rpc::{EntryIdentity, OwnedPartition};
use types::{Partition, PartitionCount};

use crate::{
    Claim, ClaimRecord, OwnershipError, OwnershipSnapshot, PartitionClaim, PartitionState, Release,
    Tenure,
};

types::wire! {
    /// A record of the stream of claims with its offset.
    pub struct PositionedClaim {
        /// Offset in the stream.
        pub offset: Offset,
        /// The record.
        pub record: ClaimRecord,
    }
}

types::plain! {
    /// Owner and epoch of every partition, folded from the claims in log order.
    pub struct OwnershipState {
        next_offset: Offset,
        partitions: Vec<PartitionState>,
    }
}

impl OwnershipState {
    /// Creates the state before the first claim of a deployment.
    pub fn new(count: PartitionCount) -> Self {
        let partitions = count.iter().map(|_| PartitionState::default()).collect();
        Self { next_offset: Offset::default(), partitions }
    }

    /// Folds all records that the log keeps, from `oldest` on.
    ///
    /// # Errors
    ///
    /// When history was cut and no snapshot replaces it.
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

    /// Applies one record and returns the partitions that changed owner by it.  Records
    /// before [`OwnershipState::next_offset`] are ignored, so that a repeated one is harmless.
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

    /// Returns the state of a partition; `None` beyond the number of partitions.
    pub fn get(&self, partition: Partition) -> Option<&PartitionState> {
        self.partitions.get(usize::from(partition.0))
    }

    /// Iterates over all partitions in order.
    pub fn iter(&self) -> impl Iterator<Item = (Partition, &PartitionState)> {
        (0..).map(Partition).zip(&self.partitions)
    }

    /// Lists the partitions that an entry owns and has not released.
    pub fn owned_by(&self, entry: &EntryIdentity) -> Vec<OwnedPartition> {
        self.iter()
            .filter(|(_, state)| state.owner() == Some(entry))
            .map(|(partition, state)| OwnedPartition { partition, epoch: state.epoch() })
            .collect()
    }

    /// Lists the former tenures of a partition whose job records a new owner reads,
    /// oldest first.
    pub fn previous_tenures(&self, partition: Partition) -> &[Tenure] {
        self.get(partition).map_or(&[], |state| &state.previous)
    }

    /// Forgets tenures that ended before a time in Unix milliseconds.  Owners and epochs
    /// stay as they are.
    pub fn trim(&mut self, ended_before_ms: u64) {
        for state in &mut self.partitions {
            state.trim(ended_before_ms);
        }
    }

    /// Returns a snapshot to append before retention cuts history.
    pub fn snapshot(&self) -> OwnershipSnapshot {
        OwnershipSnapshot { next_offset: self.next_offset, partitions: self.partitions.clone() }
    }
}
