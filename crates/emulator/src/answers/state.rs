use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the functions that are not idempotent.
#[derive(Debug, Default)]
pub(crate) struct AnswerState {
    bookings: AtomicU64,
    entries: AtomicU64,
}

impl AnswerState {
    /// Counts a booking and returns its number, from 1.
    pub(crate) fn next_booking(&self) -> u64 {
        self.bookings.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Counts an index entry and returns its number, from 1.
    pub(crate) fn next_entry(&self) -> u64 {
        self.entries.fetch_add(1, Ordering::Relaxed) + 1
    }
}
