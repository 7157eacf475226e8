use std::{collections::VecDeque, mem::size_of};

use ports::Offset;
use tokio::{sync::oneshot, time::Instant};

/// Memory that a queued body uses in addition to its encoding: its slot in the queue, and
/// 96 bytes for the channel of a waiting commit and the overhead of the allocator.
pub(crate) const BODY_OVERHEAD_BYTES: usize = size_of::<PendingBody>() + 96;

/// A body that is not durable yet.
#[derive(Debug)]
pub(crate) struct PendingBody {
    pub(crate) body: Vec<u8>,
    pub(crate) enqueued_at: Instant,
    pub(crate) tx: Option<oneshot::Sender<Offset>>,
}

/// Bodies of one append.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) bodies: Vec<PendingBody>,
    pub(crate) cost_bytes: usize,
}

/// Bodies that are not durable yet: those in the queue, and those in the append that is in
/// flight.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    queue: VecDeque<PendingBody>,
    bytes: usize,
    in_flight: usize,
    oldest_in_flight: Option<Instant>,
}

impl PendingBody {
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
        self.oldest_in_flight.or_else(|| self.queue.front().map(|pending| pending.enqueued_at))
    }

    /// Adds a body, or returns it if the backlog would exceed `limit_bytes`.
    pub(crate) fn push(
        &mut self,
        pending: PendingBody,
        limit_bytes: usize,
    ) -> Result<(), PendingBody> {
        let bytes = self.bytes + pending.cost_bytes();
        if bytes > limit_bytes {
            return Err(pending);
        }
        self.bytes = bytes;
        self.queue.push_back(pending);
        Ok(())
    }

    /// Removes the oldest bodies from the queue for one append; they count towards the size
    /// of the backlog until [`Backlog::complete`].
    pub(crate) fn take_batch(&mut self, max_record_bytes: usize) -> Option<Batch> {
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
        self.oldest_in_flight = Some(bodies.first()?.enqueued_at);
        let cost_bytes = bodies.iter().map(PendingBody::cost_bytes).sum();
        Some(Batch { bodies, cost_bytes })
    }

    /// Subtracts a batch that is durable.
    pub(crate) fn complete(&mut self, batch: &Batch) {
        self.bytes -= batch.cost_bytes;
        self.in_flight = 0;
        self.oldest_in_flight = None;
    }
}
