use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use types::AttemptKey;

use crate::{Placer, RecallBatch, UpstreamIndex};

/// Recall messages that each dispatched task adds to the budget.
const MESSAGES_PER_TASK: f64 = 0.01;

/// Largest budget of recall messages.
const MAX_MESSAGE_BUDGET: f64 = 32.0;

/// Number of expected run times after which an attempt without an answer may be recalled.
const RECALL_DELAY_RUN_TIMES: u64 = 2;

/// Shortest time in microseconds from dispatch to recall.
const MIN_RECALL_DELAY_US: u64 = 50_000;

#[derive(Clone, Copy, Debug)]
struct TrackedAttempt {
    upstream: UpstreamIndex,
    sent_us: u64,
    due_us: u64,
}

/// Schedules the recall of attempts that were sent without an offer and are still queued at a
/// slow upstream, within a budget of messages.  A recall does not affect an attempt that runs.
#[derive(Clone, Debug, Default)]
pub struct RecallScheduler {
    tracked: HashMap<AttemptKey, TrackedAttempt>,
    by_due: BTreeSet<(u64, AttemptKey)>,
    message_budget: f64,
}

impl RecallScheduler {
    /// Creates a scheduler without attempts and without budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds to the budget what one dispatched task allows, whether sent with or without an offer.
    pub fn add_budget(&mut self) {
        self.message_budget = (self.message_budget + MESSAGES_PER_TASK).min(MAX_MESSAGE_BUDGET);
    }

    /// Starts to track an attempt that was sent without an offer and is expected to run for
    /// `expected_us` microseconds on its upstream.
    pub fn track(
        &mut self,
        now_us: u64,
        key: AttemptKey,
        upstream: UpstreamIndex,
        expected_us: u64,
    ) {
        self.untrack(&key);
        let delay_us = (RECALL_DELAY_RUN_TIMES * expected_us).max(MIN_RECALL_DELAY_US);
        let due_us = now_us + delay_us;
        self.tracked.insert(key, TrackedAttempt { upstream, sent_us: now_us, due_us });
        self.by_due.insert((due_us, key));
    }

    /// Stops tracking an attempt that was answered or lost.
    pub fn untrack(&mut self, key: &AttemptKey) {
        if let Some(tracked) = self.tracked.remove(key) {
            self.by_due.remove(&(tracked.due_us, *key));
        }
    }

    /// Returns the recalls that are due, one message for each upstream, as far as the budget
    /// allows.  Attempts that are returned, or that are known to have started, are no longer
    /// tracked.
    pub fn take_due(&mut self, now_us: u64, placer: &Placer) -> Vec<RecallBatch> {
        let mut batches: IndexMap<UpstreamIndex, RecallBatch> = IndexMap::new();
        while let Some((key, tracked)) = self.first_due(now_us) {
            let may_be_queued = placer.may_be_queued(tracked.upstream, tracked.sent_us);
            if may_be_queued && !batches.contains_key(&tracked.upstream) && !self.spend_message() {
                break;
            }
            self.untrack(&key);
            if may_be_queued {
                let empty = || RecallBatch { upstream: tracked.upstream, keys: Vec::new() };
                batches.entry(tracked.upstream).or_insert_with(empty).keys.push(key);
            }
        }
        batches.into_values().collect()
    }

    fn first_due(&self, now_us: u64) -> Option<(AttemptKey, TrackedAttempt)> {
        let (_, key) = self.by_due.first().filter(|(due_us, _)| *due_us <= now_us)?;
        Some((*key, self.tracked[key]))
    }

    fn spend_message(&mut self) -> bool {
        let is_allowed = self.message_budget >= 1.0;
        self.message_budget -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
