use jobs::{JobRecord, JobTable, OwnershipState, TableSettings, Takeover};
use rpc::EntryIdentity;
use types::{AttemptKey, JobId, PartitionCount};

/// An attempt that an entry has sent.
#[derive(Clone, Copy)]
pub(crate) struct Sent {
    pub(crate) key: AttemptKey,
    pub(crate) agent: usize,
    pub(crate) incarnation: types::Incarnation,
}

/// State of one entry process.
pub(crate) struct EntryProcess {
    pub(crate) identity: EntryIdentity,
    pub(crate) ownership: OwnershipState,
    pub(crate) table: JobTable<u8>,
    /// Time of the last complete read of the claims.
    pub(crate) claims_read_ms: u64,
    pub(crate) takeover: Option<Box<Takeover>>,
    pub(crate) unwritten: Vec<JobRecord>,
    /// Jobs whose acceptance records are durable and that the table has not been notified of
    /// yet.
    pub(crate) durable: Vec<JobId>,
    pub(crate) sent: Vec<Sent>,
}

impl EntryProcess {
    pub(crate) fn new(
        identity: EntryIdentity,
        settings: TableSettings,
        count: PartitionCount,
    ) -> Self {
        Self {
            identity,
            ownership: OwnershipState::new(count),
            table: JobTable::new(settings, count),
            claims_read_ms: 0,
            takeover: None,
            unwritten: Vec::new(),
            durable: Vec::new(),
            sent: Vec::new(),
        }
    }
}
