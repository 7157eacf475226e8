use std::collections::BTreeMap;

use indexmap::IndexMap;
use jobs::{AttemptResult, StartPermit};
use rpc::{AttemptState, NotStarted, OwnedPartition, StartedAttempt, StartedReport, TaskResult};
use types::{
    Answer, AttemptKey, Epoch, Incarnation, Partition, PartitionCount, Payload, UpstreamName,
};

use crate::model::Model;

/// An attempt that the agent remembers.
struct KnownAttempt {
    state: AttemptState,
    payload: Payload,
    requesters: Vec<Requester>,
}

/// Sender of one start request.
#[derive(Clone, Copy)]
pub(crate) struct Requester {
    pub(crate) entry: Incarnation,
    epoch: Epoch,
}

/// Reply to one start request.
#[derive(Clone)]
pub(crate) struct Reply {
    pub(crate) requester: Requester,
    pub(crate) result: AttemptResult,
}

/// Fake agent that follows the protocol.
pub(crate) struct Agent {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_ms: u64,
    epochs: BTreeMap<Partition, Epoch>,
    attempts: IndexMap<AttemptKey, KnownAttempt>,
}

impl Agent {
    pub(crate) fn new(n: usize, incarnation: u128, started_ms: u64) -> Self {
        Self {
            upstream: format!("upstream-{n}").parse().unwrap(),
            incarnation: Incarnation::from_u128(incarnation),
            started_ms,
            epochs: BTreeMap::new(),
            attempts: IndexMap::new(),
        }
    }

    pub(crate) fn epoch(&self, partition: Partition) -> Epoch {
        self.epochs.get(&partition).copied().unwrap_or_default()
    }

    pub(crate) fn fence(&mut self, owned: OwnedPartition) {
        let epoch = self.epoch(owned.partition).max(owned.epoch);
        self.epochs.insert(owned.partition, epoch);
    }

    /// Starts or joins an attempt. Returns the reply if the attempt was refused or its result
    /// is known already.
    pub(crate) fn start(
        &mut self,
        from: Incarnation,
        agent: Incarnation,
        permit: StartPermit,
        idempotent: bool,
        refuse: bool,
        model: &mut Model,
    ) -> Option<Reply> {
        let StartPermit { key, owned, payload } = permit;
        let from = Requester { entry: from, epoch: owned.epoch };
        if agent != self.incarnation {
            return Some(self.reply(from, key, not_started(NotStarted::OtherIncarnation)));
        }
        if owned.epoch < self.epoch(owned.partition) {
            return Some(self.reply(from, key, not_started(NotStarted::StaleEpoch)));
        }
        self.fence(owned);
        if let Some(known) = self.attempts.get_mut(&key) {
            known.requesters.push(from);
            return match known.state.clone() {
                AttemptState::Ended(result) => Some(self.reply(from, key, result)),
                AttemptState::AnswerGone => {
                    Some(self.reply(from, key, TaskResult::Unknown("answer gone".into())))
                }
                _ => None,
            };
        }
        let refusal = not_started(NotStarted::QueueFull);
        let state = match refuse {
            true => AttemptState::Ended(refusal.clone()),
            false => AttemptState::Running,
        };
        self.attempts.insert(key, KnownAttempt { state, payload, requesters: vec![from] });
        if refuse {
            return Some(self.reply(from, key, refusal));
        }
        model.on_start(key, idempotent);
        None
    }

    fn reply(&self, requester: Requester, key: AttemptKey, result: TaskResult) -> Reply {
        let epoch = requester.epoch;
        let result = AttemptResult { key, epoch, upstream: self.upstream.clone(), result };
        Reply { requester, result }
    }

    pub(crate) fn end_attempt(
        &mut self,
        attempt: usize,
        ok: bool,
        model: &mut Model,
    ) -> Vec<Reply> {
        let is_running = |known: &KnownAttempt| known.state == AttemptState::Running;
        let keys: Vec<_> = self.attempts.iter().filter(|(_, known)| is_running(known)).collect();
        let Some((key, known)) = keys.get(attempt % keys.len().max(1)) else { return Vec::new() };
        let (key, requesters) = (**key, known.requesters.clone());
        let result = match ok {
            true => TaskResult::Done(Answer { payload: known.payload.clone(), run_us: 1 }),
            false => TaskResult::Failed("failed".into()),
        };
        if !ok {
            model.on_failure(key);
        }
        self.attempts[&key].state = AttemptState::Ended(result.clone());
        requesters.into_iter().map(|requester| self.reply(requester, key, result.clone())).collect()
    }

    pub(crate) fn discard_answers(&mut self) {
        let has_ended = |state: &AttemptState| matches!(state, AttemptState::Ended(_));
        self.attempts
            .values_mut()
            .filter(|known| has_ended(&known.state))
            .for_each(|known| known.state = AttemptState::AnswerGone);
    }

    /// Reports the started attempts to a new owner, unless a newer owner is known.
    pub(crate) fn report(
        &mut self,
        owned: &[OwnedPartition],
        count: PartitionCount,
        now_ms: u64,
    ) -> Option<StartedReport> {
        if owned.iter().any(|part| part.epoch < self.epoch(part.partition)) {
            return None;
        }
        owned.iter().for_each(|part| self.fence(*part));
        let is_requested = |key: &AttemptKey| {
            let partition = Partition::of(key.task.job, count);
            owned.iter().any(|part| part.partition == partition)
        };
        let attempts = self
            .attempts
            .iter()
            .filter(|(key, _)| is_requested(key))
            .map(|(key, known)| StartedAttempt { key: *key, state: known.state.clone() });
        Some(StartedReport {
            incarnation: self.incarnation,
            memory_ms: now_ms - self.started_ms,
            attempts: attempts.collect(),
        })
    }
}

fn not_started(reason: NotStarted) -> TaskResult {
    TaskResult::NotStarted(reason)
}
