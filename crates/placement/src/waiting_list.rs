use std::collections::{BTreeMap, HashMap};

use types::{AttemptKey, Resources};

use crate::StartRequest;

/// Position in the list: rank, then arrival number.
type Position = (u64, u64);

/// Attempts queued at an agent, lowest rank first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingList {
    by_position: BTreeMap<Position, StartRequest>,
    positions: HashMap<AttemptKey, Position>,
    next_arrival: u64,
}

impl WaitingList {
    pub(crate) fn len(&self) -> usize {
        self.by_position.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    pub(crate) fn contains(&self, key: &AttemptKey) -> bool {
        self.positions.contains_key(key)
    }

    pub(crate) fn push(&mut self, req: StartRequest) {
        let position = (req.rank, self.next_arrival);
        self.next_arrival += 1;
        self.positions.insert(req.key, position);
        self.by_position.insert(position, req);
    }

    pub(crate) fn remove(&mut self, key: &AttemptKey) -> Option<StartRequest> {
        let position = self.positions.remove(key)?;
        self.by_position.remove(&position)
    }

    /// Returns the first attempt.
    pub(crate) fn head(&self) -> Option<&StartRequest> {
        self.by_position.values().next()
    }

    /// Returns the first attempt whose charge fits into the free resources.
    pub(crate) fn first_fitting(&self, free: Resources) -> Option<&StartRequest> {
        self.by_position.values().find(|req| req.charge.fits_in(free))
    }

    /// Empties the list and returns its attempts in order.
    pub(crate) fn take_all(&mut self) -> Vec<AttemptKey> {
        self.positions.clear();
        std::mem::take(&mut self.by_position).into_values().map(|req| req.key).collect()
    }
}
