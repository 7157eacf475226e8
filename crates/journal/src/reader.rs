use std::{marker::PhantomData, sync::Arc, time::Duration};

use ports::{Log, LogError, LogPage, LogRecord, Offset, StreamName};
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use types::{Peer, StepError};

use crate::{
    Page, ReadError, Record, RecordError, codec::decode_record, duplicate_filter::DuplicateFilter,
    page_check::check_page,
};

/// Timeout of a read, in addition to the requested wait.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a stream in order from an offset on and drops duplicates.  A record that cannot be
/// decoded is not skipped: it is reported, and the caller decides whether to seek past it.
pub struct Reader<B> {
    log: Arc<dyn Log>,
    stream: StreamName,
    position: Offset,
    duplicates: DuplicateFilter,
    body: PhantomData<fn() -> B>,
}

impl<B: DeserializeOwned> Reader<B> {
    /// Creates a reader whose first record is the one at `from`.
    pub fn new(log: Arc<dyn Log>, stream: StreamName, from: Offset) -> Self {
        Self {
            log,
            stream,
            position: from,
            duplicates: DuplicateFilter::default(),
            body: PhantomData,
        }
    }

    /// Returns the stream.
    pub fn stream(&self) -> &StreamName {
        &self.stream
    }

    /// Returns the offset of the next record.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Moves to an offset, such as the oldest one in the log or the one after an unreadable
    /// record.
    pub fn seek(&mut self, offset: Offset) {
        self.position = offset;
    }

    /// Reads the next records, and waits up to `wait_ms` milliseconds if there are none.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Truncated`] if the position is no longer in the log; it contains
    /// the oldest offset, from which the caller can search for a snapshot.  Returns
    /// [`ReadError::Record`] if the next record cannot be decoded, and another [`LogError`] if
    /// the log does not answer or its answer is malformed.
    pub async fn next_page(&mut self, wait_ms: u64) -> Result<Page<B>, ReadError> {
        let page = self.read(wait_ms).await?;
        let records = self.decode(&page.records)?;
        let is_caught_up = self.position >= page.end;
        Ok(Page { records, is_caught_up })
    }

    async fn read(&self, wait_ms: u64) -> Result<LogPage, LogError> {
        const STEP: &str = "reading";
        let limit = Duration::from_millis(wait_ms) + READ_TIMEOUT;
        let no_answer = |e| {
            let peer = Peer::Named(format!("stream {}", self.stream));
            Err(LogError::NoAnswer(StepError::new(STEP, peer, e)))
        };
        let page = timeout(limit, self.log.read(&self.stream, self.position, wait_ms))
            .await
            .unwrap_or_else(no_answer)?;
        check_page(STEP, &self.stream, self.position, page)
    }

    /// Decodes records up to the first unreadable one.  Its error is returned if no new
    /// record precedes it, and otherwise by the next call.
    fn decode(&mut self, records: &[LogRecord]) -> Result<Vec<Record<B>>, RecordError> {
        let mut new_records = Vec::with_capacity(records.len());
        for record in records {
            let record = match decode_record(&self.stream, record) {
                Ok(record) => record,
                Err(error) if new_records.is_empty() => return Err(error),
                Err(_) => break,
            };
            self.position = record.offset.next();
            if !self.duplicates.is_duplicate(record.writer, record.sequence) {
                new_records.push(record);
            }
        }
        Ok(new_records)
    }
}
