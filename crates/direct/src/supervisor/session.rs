use std::collections::VecDeque;

use crate::{AttemptId, AttemptOutcome};

/// Outcomes kept for an entry that reconnects. Source: twice the tasks that an upstream of 64
/// cores ends in the time that a session lasts.
const OUTCOMES_KEPT: usize = 1_024;

/// What an agent knows of one incarnation of an entry.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: u64,
    pub(crate) last_heard_ms: u64,
    /// Whether messages can be sent; a session outlives its connection for a while.
    pub(crate) is_connected: bool,
    /// Batches received on the connection.
    pub(crate) batches_seen: u64,
    /// Outcomes not sent yet.
    pub(crate) unsent: Vec<(AttemptId, AttemptOutcome)>,
    recent: VecDeque<(AttemptId, AttemptOutcome)>,
}

impl Session {
    pub(crate) fn new(incarnation: u64, now_ms: u64) -> Self {
        Self {
            incarnation,
            last_heard_ms: now_ms,
            is_connected: true,
            batches_seen: 0,
            unsent: Vec::new(),
            recent: VecDeque::new(),
        }
    }

    pub(crate) fn record(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        self.unsent.push((id, outcome));
        self.recent.push_back((id, outcome));
        if self.recent.len() > OUTCOMES_KEPT {
            self.recent.pop_front();
        }
    }

    /// Returns the outcome of an order that has ended lately.
    pub(crate) fn outcome(&self, id: AttemptId) -> Option<AttemptOutcome> {
        self.recent.iter().find(|(known, _)| *known == id).map(|(_, outcome)| *outcome)
    }
}
