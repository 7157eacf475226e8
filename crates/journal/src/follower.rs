use std::sync::Arc;

use log::{info, warn};
use metrics::counter;
use ports::{Log, LogError, Offset, StreamName};
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::{Page, ReadError, Reader, RecordError, backoff::Backoff, stream_label::stream_label};

/// Time in milliseconds that the log waits for records before it answers with none.
const LONG_POLL_MS: u64 = 1_000;

/// Times that a record is read before it is reported as unreadable, because the damage may
/// be in the answer only.
const UNREADABLE_READS: u32 = 3;

types::plain! {
    /// Result of [`Follower::next`].
    pub enum FollowerEvent<B> {
        /// New records; the page is empty if there were none within the wait.
        Page(Page<B>),
        /// The log no longer has the next offset; the state must be read from a snapshot.
        Truncated {
            /// Oldest offset in the log.
            oldest: Offset,
        },
        /// The next record cannot be decoded.
        Unreadable(RecordError),
    }
}

/// Reads a stream indefinitely with long polls, and retries with back-off while the log is
/// down or its answers are malformed.
pub struct Follower<B> {
    reader: Reader<B>,
    backoff: Backoff,
    unreadable_reads: u32,
    available: watch::Sender<bool>,
}

impl<B: DeserializeOwned> Follower<B> {
    /// Creates a follower whose first record is the one at `from`; `seed` is the seed of
    /// the back-off's jitter.
    pub fn new(log: Arc<dyn Log>, stream: StreamName, from: Offset, seed: u64) -> Self {
        Self {
            reader: Reader::new(log, stream, from),
            backoff: Backoff::new(seed),
            unreadable_reads: 0,
            available: watch::channel(true).0,
        }
    }

    /// Returns the offset of the next record.
    pub fn position(&self) -> Offset {
        self.reader.position()
    }

    /// Moves to an offset, such as the oldest one in the log or the one after an unreadable
    /// record.
    pub fn seek(&mut self, offset: Offset) {
        self.reader.seek(offset);
    }

    /// Returns a receiver of whether the last read was answered.
    pub fn availability(&self) -> watch::Receiver<bool> {
        self.available.subscribe()
    }

    /// Waits for the next records, and retries failed reads until the log answers.
    ///
    /// The caller must call [`Follower::seek`] after [`FollowerEvent::Truncated`] and
    /// [`FollowerEvent::Unreadable`]; until then further calls return the same event.
    pub async fn next(&mut self) -> FollowerEvent<B> {
        loop {
            match self.reader.next_page(LONG_POLL_MS).await {
                Ok(page) => {
                    self.on_success();
                    return FollowerEvent::Page(page);
                }
                Err(ReadError::Log(LogError::Truncated { oldest, .. })) => {
                    self.on_success();
                    return FollowerEvent::Truncated { oldest };
                }
                Err(ReadError::Log(error)) => self.on_failure(&error).await,
                Err(ReadError::Record(error)) => {
                    if self.count_unreadable_read().await {
                        self.report_unreadable(&error);
                        return FollowerEvent::Unreadable(error);
                    }
                }
            }
        }
    }

    /// Counts a failed decoding after the back-off delay, and returns whether the record is
    /// to be reported as unreadable.
    async fn count_unreadable_read(&mut self) -> bool {
        self.backoff.wait().await;
        self.unreadable_reads += 1;
        self.unreadable_reads >= UNREADABLE_READS
    }

    fn on_success(&mut self) {
        self.backoff.reset();
        self.unreadable_reads = 0;
        if self.set_available(true) {
            info!("reading stream {} works again", self.reader.stream());
        }
    }

    fn report_unreadable(&mut self, error: &RecordError) {
        self.unreadable_reads = 0;
        let label = stream_label(self.reader.stream());
        counter!("journal_unreadable_total", "stream" => label).increment(1);
        warn!("{error}");
    }

    async fn on_failure(&mut self, error: &LogError) {
        let label = stream_label(self.reader.stream());
        counter!("journal_read_failures_total", "stream" => label).increment(1);
        if self.set_available(false) {
            warn!("reading stream {} failed; retrying: {error}", self.reader.stream());
        }
        self.backoff.wait().await;
    }

    fn set_available(&self, is_available: bool) -> bool {
        self.available.send_if_modified(|current| {
            let is_change = *current != is_available;
            *current = is_available;
            is_change
        })
    }
}
