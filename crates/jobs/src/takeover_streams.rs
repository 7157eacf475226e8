use indexmap::IndexMap;
use rpc::{EntryIdentity, OwnedPartition};
use types::{Epoch, JobId, Partition};

use crate::{AcceptedRecord, FinishedRecord, JobRecord, ServedRecord};

/// Progress of reading the job records of one incarnation of an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StreamProgress {
    /// Time up to which acceptances are known to be in the stream, in Unix milliseconds: the
    /// acceptance of the latest job, or the latest [`JobRecord::Marked`].
    pub(crate) last_accepted_ms: Option<u64>,
    /// Whether the stream was read to its end and retention had removed no record of the
    /// window.
    pub(crate) is_complete: bool,
    is_read: bool,
}

/// Job records that the previous owners of the partitions under takeover have written.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TakeoverStreams {
    streams: IndexMap<EntryIdentity, StreamProgress>,
    pub(crate) accepted: IndexMap<JobId, AcceptedRecord>,
    pub(crate) finished: IndexMap<JobId, FinishedRecord>,
    served: IndexMap<ServedEpoch, u64>,
}

/// A partition under one epoch; the key of the recorded starts of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ServedEpoch {
    partition: Partition,
    epoch: Epoch,
}

impl TakeoverStreams {
    pub(crate) fn add_owner(&mut self, owner: &EntryIdentity) {
        self.streams.entry(owner.clone()).or_default();
    }

    pub(crate) fn unread(&self) -> impl Iterator<Item = &EntryIdentity> {
        self.streams.iter().filter(|(_, progress)| !progress.is_read).map(|(owner, _)| owner)
    }

    pub(crate) fn progress(&self, owner: &EntryIdentity) -> StreamProgress {
        self.streams.get(owner).cloned().unwrap_or_default()
    }

    pub(crate) fn mark_read(&mut self, owner: &EntryIdentity, is_complete: bool) {
        if let Some(progress) = self.streams.get_mut(owner) {
            progress.is_read = true;
            progress.is_complete = is_complete;
        }
    }

    pub(crate) fn add_record(
        &mut self,
        owner: &EntryIdentity,
        record: JobRecord,
        is_taken_over: impl Fn(JobId) -> bool,
    ) {
        match record {
            JobRecord::Accepted(record) => {
                self.update_last_accepted(owner, record.terms.accepted_ms);
                if is_taken_over(record.terms.id) {
                    self.add_accepted(record);
                }
            }
            JobRecord::Finished(record) => {
                if is_taken_over(record.id) {
                    self.add_finished(record);
                }
            }
            JobRecord::Served(record) => self.add_served(&record),
            JobRecord::Marked { at_ms } => self.update_last_accepted(owner, at_ms),
        }
    }

    fn update_last_accepted(&mut self, owner: &EntryIdentity, accepted_ms: u64) {
        if let Some(progress) = self.streams.get_mut(owner) {
            progress.last_accepted_ms = progress.last_accepted_ms.max(Some(accepted_ms));
        }
    }

    /// Stores the acceptance with the highest epoch. A record of an earlier owner that became
    /// durable after that owner was replaced never led to a start.
    fn add_accepted(&mut self, record: AcceptedRecord) {
        let id = record.terms.id;
        let is_newer =
            self.accepted.get(&id).is_none_or(|known| known.owned.epoch <= record.owned.epoch);
        if is_newer {
            self.accepted.insert(id, record);
        }
    }

    fn add_finished(&mut self, record: FinishedRecord) {
        let id = record.id;
        let is_newer = self.finished.get(&id).is_none_or(|known| known.epoch <= record.epoch);
        if is_newer {
            self.finished.insert(id, record);
        }
    }

    fn add_served(&mut self, record: &ServedRecord) {
        let key =
            |owned: &OwnedPartition| ServedEpoch { partition: owned.partition, epoch: owned.epoch };
        self.served.extend(record.owned.iter().map(|owned| (key(owned), record.serve_from_ms)));
    }

    /// Returns the earliest time at which service under an epoch may have begun, in Unix
    /// milliseconds; `None` if its owner recorded none.
    pub(crate) fn served_ms(&self, partition: Partition, epoch: Epoch) -> Option<u64> {
        self.served.get(&ServedEpoch { partition, epoch }).copied()
    }
}
