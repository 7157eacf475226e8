use std::collections::VecDeque;

use crate::{AttemptId, AttemptOutcome, CrashNotice};

/// Maximum number of outcomes kept for an entry that reconnects: twice the number of tasks that an
/// upstream of 64 cores completes in the duration of a session.
const MAX_RECENT_OUTCOMES: usize = 1_024;

/// State of an agent's session with one incarnation of an entry.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: u64,
    pub(crate) last_heard_ms: u64,
    /// Time of the message before the last one.
    pub(crate) heard_before_ms: u64,
    /// Whether the session has a connection; it outlives the connection for a limited time.
    pub(crate) is_connected: bool,
    /// Whether the link is active, that is, its entry needs each change of the load.
    pub(crate) is_active: bool,
    /// Number of batches received on the current connection.
    pub(crate) batches_seen: u64,
    /// Number of times that the link was made active or put on standby on the current connection.
    pub(crate) switches_seen: u64,
    /// Outcomes that are not sent yet.
    pub(crate) unsent: Vec<(AttemptId, AttemptOutcome)>,
    /// News about crashes that is not sent yet.
    pub(crate) unsent_crashes: Vec<CrashNotice>,
    /// Latest outcomes, sent or not, the oldest first.
    recent: VecDeque<(AttemptId, AttemptOutcome)>,
}

impl Session {
    pub(crate) fn new(incarnation: u64, now_ms: u64) -> Self {
        Self {
            incarnation,
            last_heard_ms: now_ms,
            heard_before_ms: now_ms,
            is_connected: true,
            is_active: false,
            batches_seen: 0,
            switches_seen: 0,
            unsent: Vec::new(),
            unsent_crashes: Vec::new(),
            recent: VecDeque::new(),
        }
    }

    /// Records the time of a message.
    pub(crate) fn on_message(&mut self, now_ms: u64) {
        self.heard_before_ms = self.last_heard_ms;
        self.last_heard_ms = now_ms;
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
