//! What an entry has read and sent on the connection of an agent.

use std::{cell::Cell, time::Duration};

use direct::{EntryMessage, Timing, ToAgent};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// Share of the heartbeat period after which a report is answered with a heartbeat at once. A
/// message that directly follows a report proves the most to the agent.
const EARLY_HEARTBEAT_PERCENT: u32 = 75;

/// Progress of one connection, shared by its reader and its writer.
pub(crate) struct LinkProgress {
    reports_read: Cell<u64>,
    last_sent: Cell<Instant>,
    heartbeat: Cell<Duration>,
    active_heartbeat: Duration,
    standby_heartbeat: Duration,
    answer_due: Notify,
}

impl LinkProgress {
    /// Starts a connection, whose link is on standby.
    pub(crate) fn new(timing: &Timing) -> Self {
        let standby_heartbeat = Duration::from_millis(timing.standby_heartbeat_ms);
        Self {
            reports_read: Cell::new(0),
            last_sent: Cell::new(Instant::now()),
            heartbeat: Cell::new(standby_heartbeat),
            active_heartbeat: Duration::from_millis(timing.heartbeat_ms),
            standby_heartbeat,
            answer_due: Notify::new(),
        }
    }

    /// Returns a message with the number of the reports that have been read. To be called when the
    /// entry decides on the message, not when a queued message is written.
    pub(crate) fn message(&self, message: ToAgent) -> EntryMessage {
        EntryMessage { reports_read: self.reports_read.get(), message }
    }

    pub(crate) fn record_report(&self) {
        self.reports_read.set(self.reports_read.get() + 1);
        let early = self.heartbeat.get() * EARLY_HEARTBEAT_PERCENT / 100;
        if self.last_sent.get().elapsed() >= early {
            self.answer_due.notify_one();
        }
    }

    pub(crate) fn record_sent(&self) {
        self.last_sent.set(Instant::now());
    }

    /// Sets the heartbeat period of an active link or of one on standby.
    pub(crate) fn set_active(&self, is_active: bool) {
        let period = if is_active { self.active_heartbeat } else { self.standby_heartbeat };
        self.heartbeat.set(period);
    }

    /// Waits until a heartbeat is due.
    pub(crate) async fn heartbeat_due(&self) {
        let due = self.last_sent.get() + self.heartbeat.get();
        // After this time the heartbeat is due without a report.
        let _ = timeout_at(due, self.answer_due.notified()).await;
    }
}
