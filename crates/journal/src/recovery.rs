use std::collections::VecDeque;

use ports::Offset;

use crate::{Record, Snapshotted};

/// Changes kept while no snapshot has been found.
const MAX_PENDING_CHANGES: usize = 1_024;

types::plain! {
    /// A snapshot, and the changes since that it does not include.
    pub struct Recovered<B, S> {
        /// The state that was recorded.
        pub state: S,
        /// Later changes in log order.
        pub changes: Vec<B>,
    }
}

/// Looks for a snapshot in a stream whose earlier records are gone or unreadable.
///
/// A snapshot is usable when every record from its `next` on has been seen, because a
/// change may have been appended between taking the state and recording it.
#[derive(Debug)]
pub struct Recovery<B, S> {
    complete_from: Offset,
    pending: VecDeque<(Offset, B)>,
    found: Option<S>,
}

impl<B, S> Recovery<B, S> {
    /// Starts a search; `from` is the first offset that will be seen.
    pub fn new(from: Offset) -> Self {
        Self { complete_from: from, pending: VecDeque::new(), found: None }
    }

    /// Returns the first offset from which on every record has been seen.
    pub fn complete_from(&self) -> Offset {
        self.complete_from
    }

    /// Looks at the next record; the newest usable snapshot in it ends the search.
    pub fn push(&mut self, record: Record<Snapshotted<B, S>>) -> Option<Recovered<B, S>> {
        let offset = record.offset;
        for body in record.bodies {
            match body {
                Snapshotted::Change(change) => self.push_change(offset, change),
                Snapshotted::Snapshot { next, state } => self.push_snapshot(offset, next, state),
            }
        }
        let state = self.found.take()?;
        let changes = self.pending.drain(..).map(|(_, change)| change).collect();
        Some(Recovered { state, changes })
    }

    fn push_change(&mut self, offset: Offset, change: B) {
        self.pending.push_back((offset, change));
        if self.pending.len() > MAX_PENDING_CHANGES
            && let Some((dropped, _)) = self.pending.pop_front()
        {
            self.complete_from = self.complete_from.max(dropped.next());
        }
    }

    fn push_snapshot(&mut self, offset: Offset, next: Offset, state: S) {
        if next >= self.complete_from && next <= offset {
            self.pending.retain(|(offset, _)| *offset >= next);
            self.complete_from = next;
            self.found = Some(state);
        }
    }
}
