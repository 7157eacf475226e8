use std::collections::VecDeque;

use ports::Offset;

use crate::{ChangeOrSnapshot, Record};

/// Most changes that are retained while no snapshot has been found.
const MAX_PENDING_CHANGES: usize = 1_024;

types::plain! {
    /// A snapshot, and the later changes that it does not include.
    pub struct Recovered<B, S> {
        /// State in the snapshot.
        pub state: S,
        /// Later changes in the order of the stream.
        pub changes: Vec<B>,
    }
}

/// Searches for a snapshot in a stream whose earlier records are truncated or unreadable.
///
/// A snapshot is usable if every record from its `next` on has been read, because a change
/// may have been appended between reading the state and appending the snapshot.
#[derive(Debug)]
pub struct Recovery<B, S> {
    complete_from: Offset,
    pending: VecDeque<(Offset, B)>,
    snapshot: Option<S>,
}

impl<B, S> Recovery<B, S> {
    /// Starts a search; `from` is the first offset that will be read.
    pub fn new(from: Offset) -> Self {
        Self { complete_from: from, pending: VecDeque::new(), snapshot: None }
    }

    /// Returns the offset from which on every record has been read and is retained.
    pub fn complete_from(&self) -> Offset {
        self.complete_from
    }

    /// Processes the next record.  If it contains a usable snapshot, returns the state of the
    /// last one with the changes that it does not include, which ends the search.
    pub fn push(&mut self, record: Record<ChangeOrSnapshot<B, S>>) -> Option<Recovered<B, S>> {
        let offset = record.offset;
        for body in record.bodies {
            match body {
                ChangeOrSnapshot::Change(change) => self.push_change(offset, change),
                ChangeOrSnapshot::Snapshot { next, state } => {
                    self.push_snapshot(offset, next, state)
                }
            }
        }
        let state = self.snapshot.take()?;
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
            self.snapshot = Some(state);
        }
    }
}
