//! Table of the attempts that an agent knows.  It keeps an attempt from starting twice and
//! lets a new owner of a partition query the state of its attempts.

use indexmap::IndexMap;
use rpc::{AttemptState, NotStarted, StartedAttempt, TaskResult};
use tokio::time::{Duration, Instant};
use types::{AttemptKey, Partition};

use crate::messages::ReplyTx;

/// Phase of an attempt.  `result` of an ended one is `None` once its answer has been discarded.
pub(crate) enum Phase {
    Queued,
    Running,
    Ended { result: Option<TaskResult>, ended_at: Instant },
}

/// An attempt and the requests that wait for its reply.  `partition` is `None` if the attempt was
/// refused without being queued.
pub(crate) struct AttemptRecord {
    pub(crate) partition: Option<Partition>,
    pub(crate) phase: Phase,
    pub(crate) waiters: Vec<ReplyTx>,
}

/// Ended attempts are retained for `retention`, and their answers only up to `max_answer_bytes`
/// in total.  `retained_answers` holds the sizes of the answers in bytes, oldest first.
pub(crate) struct AttemptTable {
    attempts: IndexMap<AttemptKey, AttemptRecord>,
    retained_answers: std::collections::VecDeque<(AttemptKey, usize)>,
    retained_bytes: usize,
    max_answer_bytes: usize,
    retention: Duration,
}

impl AttemptTable {
    pub(crate) fn new(retention: Duration, max_answer_bytes: usize) -> Self {
        Self {
            attempts: IndexMap::new(),
            retained_answers: Default::default(),
            retained_bytes: 0,
            max_answer_bytes,
            retention,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }

    pub(crate) fn get_mut(&mut self, key: &AttemptKey) -> Option<&mut AttemptRecord> {
        self.attempts.get_mut(key)
    }

    pub(crate) fn insert_queued(&mut self, key: AttemptKey, partition: Partition, tx: ReplyTx) {
        let attempt =
            AttemptRecord { partition: Some(partition), phase: Phase::Queued, waiters: vec![tx] };
        self.attempts.insert(key, attempt);
    }

    /// Records that an unknown attempt is refused, so that a start that arrives later is refused
    /// too.
    pub(crate) fn insert_refused(&mut self, key: AttemptKey, now: Instant) {
        if self.attempts.contains_key(&key) {
            return;
        }
        let result = Some(TaskResult::NotStarted(NotStarted::Recalled));
        let attempt = AttemptRecord {
            partition: None,
            phase: Phase::Ended { result, ended_at: now },
            waiters: Vec::new(),
        };
        self.attempts.insert(key, attempt);
    }

    pub(crate) fn set_running(&mut self, key: &AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.phase = Phase::Running;
        }
    }

    /// Records the result of an attempt and returns the requests that wait for it.
    pub(crate) fn finish(
        &mut self,
        key: AttemptKey,
        result: TaskResult,
        now: Instant,
    ) -> Vec<ReplyTx> {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return Vec::new();
        };
        let bytes = answer_bytes(&result);
        attempt.phase = Phase::Ended { result: Some(result), ended_at: now };
        let waiters = std::mem::take(&mut attempt.waiters);
        self.retained_answers.push_back((key, bytes));
        self.retained_bytes += bytes;
        self.discard_answers_over_limit();
        waiters
    }

    fn discard_answers_over_limit(&mut self) {
        while self.retained_bytes > self.max_answer_bytes {
            let Some((key, bytes)) = self.retained_answers.pop_front() else {
                return;
            };
            self.retained_bytes -= bytes;
            if let Some(AttemptRecord { phase: Phase::Ended { result, .. }, .. }) =
                self.attempts.get_mut(&key)
                && matches!(result, Some(TaskResult::Done(_) | TaskResult::Failed(_)))
            {
                *result = None;
            }
        }
    }

    pub(crate) fn state(&self, key: &AttemptKey) -> Option<AttemptState> {
        self.attempts.get(key).map(|attempt| attempt_state(&attempt.phase))
    }

    /// Returns the queued, running and ended attempts of the partitions for which `is_queried`
    /// returns true.
    pub(crate) fn list_started(
        &self,
        is_queried: impl Fn(Partition) -> bool,
    ) -> Vec<StartedAttempt> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.partition.is_some_and(&is_queried))
            .map(|(key, attempt)| StartedAttempt {
                key: *key,
                state: attempt_state(&attempt.phase),
            })
            .collect()
    }

    /// Removes attempts that ended longer ago than the retention time.
    pub(crate) fn expire(&mut self, now: Instant) {
        let retention = self.retention;
        self.attempts.retain(|_, attempt| match attempt.phase {
            Phase::Ended { ended_at, .. } => now.duration_since(ended_at) < retention,
            Phase::Queued | Phase::Running => true,
        });
        let attempts = &self.attempts;
        let mut retained_bytes = 0;
        self.retained_answers.retain(|(key, bytes)| {
            let is_retained = attempts.contains_key(key);
            retained_bytes += if is_retained { *bytes } else { 0 };
            is_retained
        });
        self.retained_bytes = retained_bytes;
    }
}

fn attempt_state(phase: &Phase) -> AttemptState {
    match phase {
        Phase::Queued => AttemptState::Queued,
        Phase::Running => AttemptState::Running,
        Phase::Ended { result: Some(TaskResult::NotStarted(_)), .. } => AttemptState::NeverStarted,
        Phase::Ended { result: Some(result), .. } => AttemptState::Ended(result.clone()),
        Phase::Ended { result: None, .. } => AttemptState::AnswerGone,
    }
}

fn answer_bytes(result: &TaskResult) -> usize {
    match result {
        TaskResult::Done(answer) => answer.payload.len(),
        TaskResult::Failed(message) | TaskResult::Unknown(message) => message.len(),
        TaskResult::NotStarted(_) => 0,
    }
}
