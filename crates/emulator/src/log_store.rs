use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use indexmap::IndexMap;
use ports::{LogRecord, Offset, StreamName};
use tokio::time::Instant;

/// How long records are kept.
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

/// What a record holds.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    raw: Vec<u8>,
    /// Length of the key that the content begins with, behind one byte for that length.
    key_length: Option<usize>,
}

/// The records of one stream; consecutive offsets from `oldest` on.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    oldest: u64,
    records: VecDeque<StoredRecord>,
    /// Newest value of each key and its offset; kept whatever happens to the records.
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

#[derive(Debug)]
struct StoredRecord {
    appended: Instant,
    data: Vec<u8>,
}

impl Content {
    /// Reads a record's content; returns nothing for one that should have a key and has none.
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

    /// Creates the content of a record with a key of at most 255 bytes.
    pub(crate) fn keyed(key: &[u8], value: &[u8]) -> Self {
        let length = u8::try_from(key.len()).expect("keys are short");
        Self { raw: [&[length], key, value].concat(), key_length: Some(key.len()) }
    }

    /// Returns key and value.
    fn parts(&self) -> Option<(&[u8], &[u8])> {
        self.key_length.map(|length| self.raw[1..].split_at(length))
    }
}

impl LogStore {
    pub(crate) fn append(&mut self, stream: &StreamName, content: Content, now: Instant) -> Offset {
        self.streams.entry(stream.clone()).or_default().append(content, now)
    }

    /// Drops all records; the newest of each key can still be asked for.
    pub(crate) fn discard_history(&mut self) {
        for stream in self.streams.values_mut() {
            stream.oldest = stream.end().0;
            stream.records.clear();
        }
    }

    /// Returns a stream after dropping what is no longer kept.
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

    /// Returns the newest record of each key: key, value and offset.
    pub(crate) fn newest(&self) -> Vec<(Vec<u8>, Vec<u8>, u64)> {
        let row = |(key, (value, offset)): (&Vec<u8>, &(Vec<u8>, u64))| {
            (key.clone(), value.clone(), *offset)
        };
        self.newest.iter().map(row).collect()
    }

    fn append(&mut self, content: Content, now: Instant) -> Offset {
        let offset = self.end();
        match content.parts() {
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
        let over_count = retention.records.map_or(0, |keep| len.saturating_sub(keep));
        let over_age = retention.age.map_or(0, |age| {
            self.records.partition_point(|r| now.duration_since(r.appended) > age) as u64
        });
        let dropped = over_count.max(over_age);
        self.records.drain(..dropped as usize);
        self.oldest += dropped;
    }
}
