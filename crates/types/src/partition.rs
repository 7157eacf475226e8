use std::fmt;

use sha2::{Digest as _, Sha256};

use crate::JobId;

crate::identifier! {
    /// One part of the space of job identifiers; each part has one owning entry.
    pub struct Partition(pub u16);

    /// Number of partitions; fixed for the lifetime of a deployment.
    pub struct PartitionCount(pub u16);
}

impl Partition {
    /// Returns the partition of a job.  The hash is stable across processes and versions.
    pub fn of(job: JobId, count: PartitionCount) -> Self {
        let hash = Sha256::digest(job.as_bytes());
        let prefix = u64::from_be_bytes([
            hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
        ]);
        Self((prefix % u64::from(count.0.max(1))) as u16)
    }
}

impl PartitionCount {
    /// Iterates over all partitions in order.
    pub fn iter(self) -> impl Iterator<Item = Partition> {
        (0..self.0).map(Partition)
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
