//! A codec that counts messages and bytes in metrics, by direction and call.

use std::{io, pin::Pin};

use bytes::{Bytes, BytesMut};
use indexmap::IndexMap;
use metrics::Counter;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer, formats::Bincode};

use crate::{MessageName, metric_names};

/// Length prefix of a frame in bytes.
const FRAME_HEADER_BYTES: usize = 4;

struct Counters {
    messages: Counter,
    bytes: Counter,
}

impl Counters {
    fn new(direction: &'static str, call: &'static str) -> Self {
        let labels = [("direction", direction), ("call", call)];
        Self {
            messages: metrics::counter!(metric_names::MESSAGES, &labels),
            bytes: metrics::counter!(metric_names::BYTES, &labels),
        }
    }

    fn add(&self, bytes: usize) {
        self.messages.increment(1);
        self.bytes.increment((bytes + FRAME_HEADER_BYTES) as u64);
    }
}

/// Counters of one direction of a connection, by call.
struct Direction {
    name: &'static str,
    calls: IndexMap<&'static str, Counters>,
}

impl Direction {
    fn new(name: &'static str) -> Self {
        Self { name, calls: IndexMap::new() }
    }

    fn count(&mut self, call: &'static str, bytes: usize) {
        let direction = self.name;
        self.calls.entry(call).or_insert_with(|| Counters::new(direction, call)).add(bytes);
    }
}

/// A bincode codec that encodes items of type `O`, decodes items of type `I` and counts both in
/// metrics.  Bytes include the length prefix of the frame.
pub struct CountingCodec<I, O> {
    codec: Pin<Box<Bincode<I, O>>>,
    sent: Direction,
    received: Direction,
}

impl<I, O> Default for CountingCodec<I, O> {
    fn default() -> Self {
        Self {
            codec: Box::pin(Bincode::default()),
            sent: Direction::new("sent"),
            received: Direction::new("received"),
        }
    }
}

impl<I, O> Deserializer<I> for CountingCodec<I, O>
where
    I: for<'de> Deserialize<'de> + MessageName,
    Bincode<I, O>: Deserializer<I, Error = io::Error>,
{
    type Error = io::Error;

    fn deserialize(mut self: Pin<&mut Self>, src: &BytesMut) -> Result<I, Self::Error> {
        let item = self.codec.as_mut().deserialize(src)?;
        self.received.count(item.message_name(), src.len());
        Ok(item)
    }
}

impl<I, O> Serializer<O> for CountingCodec<I, O>
where
    O: Serialize + MessageName,
    Bincode<I, O>: Serializer<O, Error = io::Error>,
{
    type Error = io::Error;

    fn serialize(mut self: Pin<&mut Self>, item: &O) -> Result<Bytes, Self::Error> {
        let data = self.codec.as_mut().serialize(item)?;
        self.sent.count(item.message_name(), data.len());
        Ok(data)
    }
}
