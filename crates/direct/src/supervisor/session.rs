use std::collections::VecDeque;

use types::Resources;

use crate::{AttemptId, AttemptOutcome};

/// Maximum number of outcomes kept for an entry that reconnects: twice the number of tasks that an
/// upstream of 64 cores completes in the duration of a session.
const MAX_RECENT_OUTCOMES: usize = 1_024;

/// State of an agent's session with one incarnation of an entry.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: u64,
    pub(crate) last_heard_ms: u64,
    /// Whether the session has a connection; it outlives the connection for a limited time.
    pub(crate) is_connected: bool,
    /// Whether the link is active, that is, its entry needs each change of the load.
    pub(crate) is_active: bool,
    /// Free capacity that the entry believes it may use: the last report less what it has used.
    pub(crate) offered: Resources,
    /// Urgency of the most urgent task that waits at the entry.
    pub(crate) waiting: Option<u8>,
    /// Free capacity that is reserved for the entry, and until when.
    pub(crate) reserved: Resources,
    pub(crate) offer_expires_ms: u64,
    /// Time before which the entry gets no offer, because it has not used the last one.
    pub(crate) no_offer_before_ms: u64,
    /// Number of batches received on the current connection.
    pub(crate) batches_seen: u64,
    /// Outcomes that are not sent yet.
    pub(crate) unsent: Vec<(AttemptId, AttemptOutcome)>,
    /// Latest outcomes, sent or not, the oldest first.
    recent: VecDeque<(AttemptId, AttemptOutcome)>,
}

impl Session {
    pub(crate) fn new(incarnation: u64, now_ms: u64) -> Self {
        Self {
            incarnation,
            last_heard_ms: now_ms,
            is_connected: true,
            is_active: false,
            offered: Resources::default(),
            waiting: None,
            reserved: Resources::default(),
            offer_expires_ms: 0,
            no_offer_before_ms: 0,
            batches_seen: 0,
            unsent: Vec::new(),
            recent: VecDeque::new(),
        }
    }

    /// Records the outcome of an attempt, to be sent with the next report.
    pub(crate) fn record_outcome(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        self.unsent.push((id, outcome));
        self.recent.push_back((id, outcome));
        if self.recent.len() > MAX_RECENT_OUTCOMES {
            self.recent.pop_front();
        }
    }

    /// Returns the outcome of an attempt that ended recently.
    pub(crate) fn outcome(&self, id: AttemptId) -> Option<AttemptOutcome> {
        self.recent.iter().find(|(known, _)| *known == id).map(|(_, outcome)| *outcome)
    }
}
