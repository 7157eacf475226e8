use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use indexmap::IndexMap;
use ports::{LogRecord, Offset, StreamName};
use tokio::time::Instant;

/// Limits on the number and age of the records of a stream; records beyond them are dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    pub(crate) records: Option<u64>,
    pub(crate) age: Option<Duration>,
}

/// The records of every stream.
#[derive(Debug, Default)]
pub(crate) struct LogStore {
    streams: IndexMap<StreamName, Stream>,
}

/// Content of a record: opaque bytes, or a key with a value.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    raw: Vec<u8>,
    /// Length of the key in a keyed record, whose content is one byte for that length, the key
    /// and the value.
    key_length: Option<usize>,
}

/// The records of one stream, at consecutive offsets from `oldest` on.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    oldest: u64,
    records: VecDeque<StoredRecord>,
    /// Newest value of each key and its offset, retained even when the record is dropped.
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

#[derive(Debug)]
struct StoredRecord {
    appended: Instant,
    data: Vec<u8>,
}

impl Content {
    /// Decodes the content of a record; returns `None` when `is_keyed` and the key is missing or
    /// truncated.
    pub(crate) fn decode(raw: &[u8], is_keyed: bool) -> Option<Self> {
        let key_length = match raw.split_first() {
            Some((length, rest)) if is_keyed && rest.len() >= usize::from(*length) => {
                Some(usize::from(*length))
            }
            _ if is_keyed => return None,
            _ => None,
        };
        Some(Self { raw: raw.to_vec(), key_length })
    }

    /// Creates the content of a keyed record.
    ///
    /// # Panics
    ///
    /// When the key is longer than 255 bytes.
    pub(crate) fn keyed(key: &[u8], value: &[u8]) -> Self {
        let length = u8::try_from(key.len()).expect("keys are short");
        Self { raw: [&[length], key, value].concat(), key_length: Some(key.len()) }
    }

    /// Returns the key and the value of a keyed record.
    fn key_and_value(&self) -> Option<(&[u8], &[u8])> {
        self.key_length.map(|length| self.raw[1..].split_at(length))
    }
}

impl LogStore {
    pub(crate) fn append(&mut self, stream: &StreamName, content: Content, now: Instant) -> Offset {
        self.streams.entry(stream.clone()).or_default().append(content, now)
    }

    /// Drops all records; the newest value of each key is retained.
    pub(crate) fn discard_history(&mut self) {
        for stream in self.streams.values_mut() {
            stream.oldest = stream.end().0;
            stream.records.clear();
        }
    }

    /// Returns a stream after dropping the records beyond `retention`.
    pub(crate) fn stream(
        &mut self,
        stream: &StreamName,
        retention: Retention,
        now: Instant,
    ) -> &Stream {
        let stream = self.streams.entry(stream.clone()).or_default();
        stream.truncate(retention, now);
        stream
    }
}

impl Stream {
    pub(crate) fn oldest(&self) -> Offset {
        Offset(self.oldest)
    }

    pub(crate) fn end(&self) -> Offset {
        Offset(self.oldest + self.records.len() as u64)
    }

    /// Returns at most `limit` records from an offset on.
    pub(crate) fn records(&self, from: Offset, limit: usize) -> Vec<LogRecord> {
        let skipped = from.0.saturating_sub(self.oldest) as usize;
        (self.oldest..)
            .zip(&self.records)
            .skip(skipped)
            .take(limit)
            .map(|(offset, r)| LogRecord { offset: Offset(offset), data: r.data.clone() })
            .collect()
    }

    /// Returns the newest value of each key, as key, value and offset.
    pub(crate) fn newest(&self) -> Vec<(Vec<u8>, Vec<u8>, u64)> {
        let row = |(key, (value, offset)): (&Vec<u8>, &(Vec<u8>, u64))| {
            (key.clone(), value.clone(), *offset)
        };
        self.newest.iter().map(row).collect()
    }

    fn append(&mut self, content: Content, now: Instant) -> Offset {
        let offset = self.end();
        match content.key_and_value() {
            Some((key, [])) => {
                self.newest.remove(key);
            }
            Some((key, value)) => {
                self.newest.insert(key.to_vec(), (value.to_vec(), offset.0));
            }
            None => {}
        }
        self.records.push_back(StoredRecord { appended: now, data: content.raw });
        offset
    }

    fn truncate(&mut self, retention: Retention, now: Instant) {
        let len = self.records.len() as u64;
        let excess = retention.records.map_or(0, |limit| len.saturating_sub(limit));
        let expired = retention.age.map_or(0, |age| {
            self.records.partition_point(|r| now.duration_since(r.appended) > age) as u64
        });
        let dropped = excess.max(expired);
        self.records.drain(..dropped as usize);
        self.oldest += dropped;
    }
}
