use std::time::Duration;

use ports::{CallBudget, Offset, StreamName};
use types::Incarnation;

const MAX_BACKLOG_BYTES: usize = 8 * 1024 * 1024;
const MAX_RECORD_BYTES: usize = 256 * 1024;
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of a [`crate::Writer`].
#[derive(Clone, Debug)]
pub struct WriterSettings {
    pub(crate) stream: StreamName,
    pub(crate) incarnation: Incarnation,
    pub(crate) budget: CallBudget,
    pub(crate) max_backlog_bytes: usize,
    pub(crate) max_record_bytes: usize,
    pub(crate) append_timeout: Duration,
    pub(crate) known_offset: Offset,
    pub(crate) seed: u64,
}

impl WriterSettings {
    /// Creates settings with a backlog of 8 MiB, records of at most 256 KiB and an append
    /// timeout of 5 s.
    ///
    /// There must be at most one writer for an incarnation and a stream.
    pub fn new(stream: StreamName, incarnation: Incarnation, budget: CallBudget) -> Self {
        Self {
            stream,
            incarnation,
            budget,
            max_backlog_bytes: MAX_BACKLOG_BYTES,
            max_record_bytes: MAX_RECORD_BYTES,
            append_timeout: APPEND_TIMEOUT,
            known_offset: Offset::default(),
            seed: rand::random(),
        }
    }

    /// Sets the limit of memory for bodies that are not durable yet, in bytes.
    pub fn max_backlog_bytes(self, bytes: usize) -> Self {
        Self { max_backlog_bytes: bytes, ..self }
    }

    /// Sets the limit of the bodies in one record, in bytes.
    pub fn max_record_bytes(self, bytes: usize) -> Self {
        Self { max_record_bytes: bytes, ..self }
    }

    /// Sets the time after which an append counts as unanswered.  It is also the timeout of
    /// each read that searches for the record of an unanswered append.
    pub fn append_timeout(self, timeout: Duration) -> Self {
        Self { append_timeout: timeout, ..self }
    }

    /// Sets an offset that the stream is known to have reached; the search for a record
    /// whose append was not answered starts there.
    pub fn known_offset(self, offset: Offset) -> Self {
        Self { known_offset: offset, ..self }
    }

    /// Sets the seed of the back-off's jitter.
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
