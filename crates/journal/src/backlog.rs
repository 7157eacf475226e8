use std::{collections::VecDeque, mem::size_of};

use ports::Offset;
use tokio::{sync::oneshot, time::Instant};

/// Memory that a body takes besides its encoding: its place in the queue, the channel
/// of a waiting commit and the allocator's share.
pub(crate) const BODY_OVERHEAD_BYTES: usize = size_of::<Pending>() + 96;

/// A body that is not durable yet.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) body: Vec<u8>,
    pub(crate) enqueued_at: Instant,
    pub(crate) tx: Option<oneshot::Sender<Offset>>,
}

/// Bodies of one append.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) bodies: Vec<Pending>,
    pub(crate) cost_bytes: usize,
}

/// Bodies that wait for an append, and the size of those in the one that is in flight.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    queue: VecDeque<Pending>,
    bytes: usize,
    in_flight: usize,
    in_flight_since: Option<Instant>,
}

impl Pending {
    fn cost_bytes(&self) -> usize {
        self.body.len() + BODY_OVERHEAD_BYTES
    }
}

impl Backlog {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn bodies(&self) -> usize {
        self.queue.len() + self.in_flight
    }

    pub(crate) fn oldest(&self) -> Option<Instant> {
        self.in_flight_since.or_else(|| self.queue.front().map(|pending| pending.enqueued_at))
    }

    /// Takes a body in, or hands it back when the limit would be exceeded.
    pub(crate) fn push(&mut self, pending: Pending, limit_bytes: usize) -> Result<(), Pending> {
        let bytes = self.bytes + pending.cost_bytes();
        if bytes > limit_bytes {
            return Err(pending);
        }
        self.bytes = bytes;
        self.queue.push_back(pending);
        Ok(())
    }

    /// Takes the oldest bodies for one append; they count until [`Backlog::complete`].
    pub(crate) fn take(&mut self, max_record_bytes: usize) -> Option<Batch> {
        let mut record_bytes = 0;
        let count = self
            .queue
            .iter()
            .take_while(|pending| {
                record_bytes += pending.body.len();
                record_bytes <= max_record_bytes
            })
            .count();
        let bodies: Vec<_> = self.queue.drain(..count).collect();
        self.in_flight = bodies.len();
        self.in_flight_since = Some(bodies.first()?.enqueued_at);
        let cost_bytes = bodies.iter().map(Pending::cost_bytes).sum();
        Some(Batch { bodies, cost_bytes })
    }

    /// Forgets a batch that is durable.
    pub(crate) fn complete(&mut self, batch: &Batch) {
        self.bytes -= batch.cost_bytes;
        self.in_flight = 0;
        self.in_flight_since = None;
    }
}
