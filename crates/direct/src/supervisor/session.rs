use std::collections::VecDeque;

use types::Resources;

use crate::{
    AttemptId, AttemptOutcome, ClaimNews, CrashNotice, supervisor::sent_reports::SentReports,
};

/// Maximum number of outcomes kept for an entry that reconnects: twice the number of tasks that an
/// upstream of 64 cores completes in the duration of a session.
const MAX_RECENT_OUTCOMES: usize = 1_024;

/// State of an agent's session with one incarnation of an entry.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: u64,
    /// Time at which the last message was read.
    pub(crate) last_heard_ms: u64,
    /// Latest time at which the entry is known to have been alive and to have wanted the runs that
    /// it has not stopped. A message that arrives now may have been sent long ago, so this is the
    /// time of the agent's own last message that the entry had read.
    pub(crate) proven_ms: u64,
    /// Messages sent on the current connection.
    pub(crate) sent_reports: SentReports,
    /// Whether the session has a connection; it outlives the connection for a limited time.
    pub(crate) is_connected: bool,
    /// Whether the link is active, that is, its entry needs each change of the load.
    pub(crate) is_active: bool,
    /// Number of batches received on the current connection.
    pub(crate) batches_seen: u64,
    /// Number of times that the link was made active or put on standby on the current connection.
    pub(crate) switches_seen: u64,
    /// Minimum time between two reports of a change of the load, milliseconds.
    pub(crate) report_period_ms: u16,
    /// Time of the last report, and the free capacity in it, milliseconds.
    pub(crate) reported_ms: u64,
    pub(crate) reported_free: Resources,
    /// Outcomes that are not sent yet.
    pub(crate) unsent: Vec<(AttemptId, AttemptOutcome)>,
    /// News about crashes that is not sent yet.
    pub(crate) unsent_crashes: Vec<CrashNotice>,
    /// News about claims that is not sent yet.
    pub(crate) unsent_claims: Vec<ClaimNews>,
    /// Latest outcomes, sent or not, the oldest first.
    recent: VecDeque<(AttemptId, AttemptOutcome)>,
}

impl Session {
    pub(crate) fn new(incarnation: u64, hello_ms: u64, now_ms: u64) -> Self {
        Self {
            incarnation,
            last_heard_ms: now_ms,
            proven_ms: hello_ms,
            sent_reports: SentReports::new(hello_ms),
            is_connected: true,
            is_active: false,
            batches_seen: 0,
            switches_seen: 0,
            report_period_ms: 0,
            reported_ms: now_ms,
            reported_free: Resources::default(),
            unsent: Vec::new(),
            unsent_crashes: Vec::new(),
            unsent_claims: Vec::new(),
            recent: VecDeque::new(),
        }
    }

    /// Records a message from the entry, which had read the report with this number.
    pub(crate) fn on_message(&mut self, reports_read: u64, now_ms: u64) {
        self.last_heard_ms = now_ms;
        if let Some(sent_ms) = self.sent_reports.sent_ms(reports_read) {
            self.proven_ms = self.proven_ms.max(sent_ms);
        }
    }

    /// Returns whether the entry is to be told of a change of the free capacity now.
    pub(crate) fn is_change_due(&self, free: Resources, now_ms: u64) -> bool {
        self.is_active
            && self.reported_free != free
            && now_ms >= self.reported_ms + u64::from(self.report_period_ms)
    }

    /// Records a report with this free capacity, or that one is due.
    pub(crate) fn record_report(&mut self, free: Resources, now_ms: u64) {
        self.reported_free = free;
        self.reported_ms = now_ms;
    }

    /// Returns whether the entry was alive less than `age_ms` ago.
    pub(crate) fn is_proven_within(&self, age_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.proven_ms) < age_ms
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
