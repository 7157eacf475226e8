use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use types::AttemptKey;

use crate::{Placer, RecallBatch, UpstreamIndex};

/// Recall messages that each dispatched task allows.
const MESSAGES_PER_TASK: f64 = 0.01;

/// Most recall messages saved up.
const MAX_SAVED_MESSAGES: f64 = 32.0;

/// Expected run times after which an attempt that has no answer is taken to wait.
const PATIENCE_RUN_TIMES: u64 = 2;

/// Shortest time in microseconds before a recall.
const MIN_PATIENCE_US: u64 = 50_000;

#[derive(Clone, Copy, Debug)]
struct Sent {
    upstream: UpstreamIndex,
    sent_us: u64,
    due_us: u64,
}

/// Recall of attempts that were sent without an offer and still wait at a straggler, within
/// a budget of messages.  Attempts that run are not affected by a recall.
#[derive(Clone, Debug, Default)]
pub struct RecallScheduler {
    sent: HashMap<AttemptKey, Sent>,
    by_due: BTreeSet<(u64, AttemptKey)>,
    saved_messages: f64,
}

impl RecallScheduler {
    /// Creates a recall without attempts and without budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the share of one dispatched task, with an offer or without, to the budget.
    pub fn add_budget(&mut self) {
        self.saved_messages = (self.saved_messages + MESSAGES_PER_TASK).min(MAX_SAVED_MESSAGES);
    }

    /// Watches an attempt that was sent without an offer and is expected to run for
    /// `expected_us` microseconds on its upstream.
    pub fn track(
        &mut self,
        now_us: u64,
        key: AttemptKey,
        upstream: UpstreamIndex,
        expected_us: u64,
    ) {
        self.untrack(&key);
        let patience_us = (PATIENCE_RUN_TIMES * expected_us).max(MIN_PATIENCE_US);
        let due_us = now_us + patience_us;
        self.sent.insert(key, Sent { upstream, sent_us: now_us, due_us });
        self.by_due.insert((due_us, key));
    }

    /// Forgets an attempt that was answered or lost.
    pub fn untrack(&mut self, key: &AttemptKey) {
        if let Some(sent) = self.sent.remove(key) {
            self.by_due.remove(&(sent.due_us, *key));
        }
    }

    /// Returns the recalls that are due, one message for each upstream, as far as the budget
    /// allows; each attempt is listed once.
    pub fn take_due(&mut self, now_us: u64, placer: &Placer) -> Vec<RecallBatch> {
        let mut batches: IndexMap<UpstreamIndex, RecallBatch> = IndexMap::new();
        while let Some((key, sent)) = self.first_due(now_us) {
            let is_waiting = placer.may_be_queued(sent.upstream, sent.sent_us);
            if is_waiting && !batches.contains_key(&sent.upstream) && !self.spend_message() {
                break;
            }
            self.untrack(&key);
            if is_waiting {
                let empty = || RecallBatch { upstream: sent.upstream, keys: Vec::new() };
                batches.entry(sent.upstream).or_insert_with(empty).keys.push(key);
            }
        }
        batches.into_values().collect()
    }

    fn first_due(&self, now_us: u64) -> Option<(AttemptKey, Sent)> {
        let (_, key) = self.by_due.first().filter(|(due_us, _)| *due_us <= now_us)?;
        Some((*key, self.sent[key]))
    }

    fn spend_message(&mut self) -> bool {
        let is_allowed = self.saved_messages >= 1.0;
        self.saved_messages -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
