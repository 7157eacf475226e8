use types::Urgency;

const CLASSES: u128 = Urgency::ALL.len() as u128;

/// Memory of a queue, shared by dynamic thresholds: a class of a team may hold its part of
/// the room that is still free, and one that holds nothing may always take up to half of it.
/// A class that floods alone stops at half of the room or below, and the hard bound holds
/// whatever arrives.
#[derive(Debug)]
pub(crate) struct QueueMemory {
    max_bytes: usize,
    bytes: usize,
    waiting_weight: u64,
}

impl QueueMemory {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { max_bytes, bytes: 0, waiting_weight: 0 }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn add_weight(&mut self, weight: u32) {
        self.waiting_weight += u64::from(weight);
    }

    pub(crate) fn subtract_weight(&mut self, weight: u32) {
        self.waiting_weight -= u64::from(weight);
    }

    pub(crate) fn reserve(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    pub(crate) fn release(&mut self, bytes: usize) {
        self.bytes -= bytes;
    }

    /// Returns the most bytes that a class of a team may hold once it has been given
    /// `bytes` more.  `waiting_weight` is what the team already adds to the waiting weight.
    pub(crate) fn limit(
        &self,
        held: usize,
        weight: u32,
        waiting_weight: u32,
        bytes: usize,
    ) -> usize {
        let free = self.max_bytes.saturating_sub(self.bytes);
        let left = free.saturating_sub(bytes) as u128;
        let others = self.waiting_weight - u64::from(waiting_weight);
        let weight = u128::from(weight);
        let threshold = left * weight / (u128::from(others) + weight) / CLASSES;
        let threshold = usize::try_from(threshold).unwrap_or(usize::MAX);
        let first = if held == 0 { free / 2 } else { 0 };
        threshold.max(first)
    }
}
