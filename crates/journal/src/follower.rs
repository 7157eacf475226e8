use std::sync::Arc;

use log::{info, warn};
use metrics::counter;
use ports::{Log, LogError, Offset, StreamName};
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::{Page, ReadError, Reader, RecordError, backoff::Backoff, stream_label::stream_label};

/// Time that the log holds a read back while there are no records, in milliseconds.
const LONG_POLL_MS: u64 = 1_000;

/// Reads of a record that cannot be decoded before it is reported, as the damage may be
/// in the answer only.
const UNREADABLE_READS: u32 = 3;

types::plain! {
    /// What a [`Follower`] met.
    pub enum FollowerEvent<B> {
        /// Records, or an empty page after a wait without any.
        Page(Page<B>),
        /// The log no longer keeps the next offset; state must come from a snapshot.
        Truncated {
            /// Oldest offset kept.
            oldest: Offset,
        },
        /// The next record cannot be decoded.
        Unreadable(RecordError),
    }
}

/// Follows a stream for good: long polls, and retries with back-off while the log is
/// down or answers wrongly.
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

    /// Goes to an offset: the oldest one kept, or the one after an unreadable record.
    pub fn seek(&mut self, offset: Offset) {
        self.reader.seek(offset);
    }

    /// Follows whether the last read was answered.
    pub fn availability(&self) -> watch::Receiver<bool> {
        self.available.subscribe()
    }

    /// Waits for the next records, through failures of any length.
    ///
    /// The caller must [`Follower::seek`] after [`FollowerEvent::Truncated`] and
    /// [`FollowerEvent::Unreadable`]; until then the next call reports the same.
    pub async fn next(&mut self) -> FollowerEvent<B> {
        loop {
            match self.reader.next_page(LONG_POLL_MS).await {
                Ok(page) => {
                    self.succeeded();
                    return FollowerEvent::Page(page);
                }
                Err(ReadError::Log(LogError::Truncated { oldest, .. })) => {
                    self.succeeded();
                    return FollowerEvent::Truncated { oldest };
                }
                Err(ReadError::Log(error)) => self.failed(&error).await,
                Err(ReadError::Record(error)) => {
                    if self.is_unreadable().await {
                        self.report(&error);
                        return FollowerEvent::Unreadable(error);
                    }
                }
            }
        }
    }

    /// Returns whether the record has now been read often enough to be sure.
    async fn is_unreadable(&mut self) -> bool {
        self.backoff.wait().await;
        self.unreadable_reads += 1;
        self.unreadable_reads >= UNREADABLE_READS
    }

    fn succeeded(&mut self) {
        self.backoff.reset();
        self.unreadable_reads = 0;
        if self.set_available(true) {
            info!("stream {} is read again", self.reader.stream());
        }
    }

    fn report(&mut self, error: &RecordError) {
        self.unreadable_reads = 0;
        let label = stream_label(self.reader.stream());
        counter!("journal_unreadable_total", "stream" => label).increment(1);
        warn!("{error}");
    }

    async fn failed(&mut self, error: &LogError) {
        let label = stream_label(self.reader.stream());
        counter!("journal_read_failures_total", "stream" => label).increment(1);
        if self.set_available(false) {
            warn!("stream {} cannot be read: {error}", self.reader.stream());
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
