use std::collections::BTreeMap;

use crate::Ticket;

/// Credit for a microsecond of slot time.  Credit is counted in hundredths of a microsecond,
/// so that percentages of slot time are integers.
const CREDIT_PER_US: i64 = 100;

/// A queued task.
#[derive(Debug)]
pub(crate) struct QueueEntry<T> {
    pub(crate) cost_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) bytes: usize,
    pub(crate) item: T,
}

impl<T> QueueEntry<T> {
    /// Returns the first microsecond at which a start can no longer meet the deadline.
    pub(crate) fn expires_us(&self) -> u64 {
        self.deadline_us.saturating_add(1).saturating_sub(self.cost_us)
    }
}

/// Queued tasks of one team and urgency class in order of arrival, with the class's credit
/// towards its floor.
#[derive(Debug)]
pub(crate) struct ClassQueue<T> {
    entries: BTreeMap<u64, QueueEntry<T>>,
    backlog_us: u64,
    bytes: usize,
    credit: i64,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), backlog_us: 0, bytes: 0, credit: 0 }
    }
}

impl<T> ClassQueue<T> {
    pub(crate) fn push(&mut self, ticket: Ticket, entry: QueueEntry<T>) {
        self.backlog_us += entry.cost_us;
        self.bytes += entry.bytes;
        self.entries.insert(ticket.sequence, entry);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<QueueEntry<T>> {
        let entry = self.entries.remove(&ticket.sequence)?;
        self.backlog_us -= entry.cost_us;
        self.bytes -= entry.bytes;
        self.reset_credit_if_empty();
        Some(entry)
    }

    pub(crate) fn head(&self) -> Option<(u64, &QueueEntry<T>)> {
        self.entries.first_key_value().map(|(&sequence, entry)| (sequence, entry))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn backlog_us(&self) -> u64 {
        self.backlog_us
    }

    /// Returns whether the credit covers the first task.
    pub(crate) fn has_credit_for_head(&self) -> bool {
        self.head().is_some_and(|(_, entry)| self.credit >= credit_of(entry.cost_us))
    }

    /// Credits the class with its floor of the slot time that the team used, which is
    /// negative for a correction.  A class without queued tasks accrues nothing.
    pub(crate) fn accrue(&mut self, used_us: i64, floor_percent: u8) {
        if self.is_empty() || floor_percent == 0 {
            return;
        }
        let accrued = used_us.saturating_mul(floor_percent.into());
        self.credit = self.credit.saturating_add(accrued);
    }

    /// Debits a task that was taken ahead of more urgent work; the debt is at most
    /// `max_debt_us` of slot time.
    pub(crate) fn spend_by_floor(&mut self, used_us: i64, max_debt_us: u64) {
        let spent = self.credit.saturating_sub(used_us.saturating_mul(CREDIT_PER_US));
        self.credit = spent.max(-credit_of(max_debt_us));
        self.reset_credit_if_empty();
    }

    /// Debits a task that was taken as the team's most urgent one; this uses up credit but
    /// makes no debt.
    pub(crate) fn spend_by_priority(&mut self, used_us: u64) {
        let spent = self.credit.saturating_sub(credit_of(used_us));
        self.credit = spent.max(self.credit.min(0));
    }

    /// Discards the credit of a class without queued tasks; a debt is kept.
    fn reset_credit_if_empty(&mut self) {
        if self.is_empty() {
            self.credit = self.credit.min(0);
        }
    }
}

fn credit_of(slot_us: u64) -> i64 {
    i64::try_from(slot_us).unwrap_or(i64::MAX).saturating_mul(CREDIT_PER_US)
}
