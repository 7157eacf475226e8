use types::Urgency;

const CLASSES: u128 = Urgency::ALL.len() as u128;

/// Memory of a queue, shared by dynamic thresholds: a class of a team may hold its share of
/// the memory that is still free, and a class that holds nothing may always use up to half
/// of the free memory.  A class that floods the queue alone is limited to half of the memory
/// or less, and `max_bytes` is never exceeded.
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

    /// Returns the most bytes that a class of a team may hold after an addition of `bytes`.
    /// `class_bytes` is what the class holds now, and `waiting_weight` is the weight with
    /// which the team is already counted as waiting, 0 if it is not.
    pub(crate) fn limit(
        &self,
        class_bytes: usize,
        weight: u32,
        waiting_weight: u32,
        bytes: usize,
    ) -> usize {
        let free = self.max_bytes.saturating_sub(self.bytes);
        let remaining = free.saturating_sub(bytes) as u128;
        let others = self.waiting_weight - u64::from(waiting_weight);
        let weight = u128::from(weight);
        let threshold = remaining * weight / (u128::from(others) + weight) / CLASSES;
        let threshold = usize::try_from(threshold).unwrap_or(usize::MAX);
        let initial_limit = if class_bytes == 0 { free / 2 } else { 0 };
        threshold.max(initial_limit)
    }
}
