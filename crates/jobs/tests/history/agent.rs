use std::collections::BTreeMap;

use indexmap::IndexMap;
use jobs::{AttemptResult, StartPermit};
use rpc::{AttemptState, NotStarted, OwnedPartition, StartedAttempt, StartedReport, TaskResult};
use types::{
    Answer, AttemptKey, Epoch, Incarnation, Partition, PartitionCount, Payload, UpstreamName,
};

use crate::truth::Truth;

struct Held {
    state: AttemptState,
    payload: Payload,
    joined: Vec<Requester>,
}

/// Sender of one request.
#[derive(Clone, Copy)]
pub(crate) struct Requester {
    pub(crate) entry: Incarnation,
    epoch: Epoch,
}

/// An answer to one request.
#[derive(Clone)]
pub(crate) struct Reply {
    pub(crate) requester: Requester,
    pub(crate) end: AttemptResult,
}

/// An agent that keeps its part of the protocol.
pub(crate) struct Agent {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
    pub(crate) booted_ms: u64,
    epochs: BTreeMap<Partition, Epoch>,
    held: IndexMap<AttemptKey, Held>,
}

impl Agent {
    pub(crate) fn new(n: usize, incarnation: u128, booted_ms: u64) -> Self {
        Self {
            upstream: format!("upstream-{n}").parse().unwrap(),
            incarnation: Incarnation::from_u128(incarnation),
            booted_ms,
            epochs: BTreeMap::new(),
            held: IndexMap::new(),
        }
    }

    pub(crate) fn epoch(&self, partition: Partition) -> Epoch {
        self.epochs.get(&partition).copied().unwrap_or_default()
    }

    pub(crate) fn fence(&mut self, owned: OwnedPartition) {
        let epoch = self.epoch(owned.partition).max(owned.epoch);
        self.epochs.insert(owned.partition, epoch);
    }

    /// Starts or joins an attempt; returns the answer when there is one already.
    pub(crate) fn start(
        &mut self,
        from: Incarnation,
        agent: Incarnation,
        permit: StartPermit,
        idempotent: bool,
        refuse: bool,
        truth: &mut Truth,
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
        if let Some(held) = self.held.get_mut(&key) {
            held.joined.push(from);
            return match held.state.clone() {
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
        self.held.insert(key, Held { state, payload, joined: vec![from] });
        if refuse {
            return Some(self.reply(from, key, refusal));
        }
        truth.started(key, idempotent);
        None
    }

    fn reply(&self, requester: Requester, key: AttemptKey, result: TaskResult) -> Reply {
        let epoch = requester.epoch;
        let end = AttemptResult { key, epoch, upstream: self.upstream.clone(), result };
        Reply { requester, end }
    }

    pub(crate) fn end(&mut self, attempt: usize, ok: bool, truth: &mut Truth) -> Vec<Reply> {
        let running = |held: &Held| held.state == AttemptState::Running;
        let keys: Vec<_> = self.held.iter().filter(|(_, held)| running(held)).collect();
        let Some((key, held)) = keys.get(attempt % keys.len().max(1)) else { return Vec::new() };
        let (key, joined) = (**key, held.joined.clone());
        let result = match ok {
            true => TaskResult::Done(Answer { payload: held.payload.clone(), run_us: 1 }),
            false => TaskResult::Failed("failed".into()),
        };
        if !ok {
            truth.failed(key);
        }
        self.held[&key].state = AttemptState::Ended(result.clone());
        joined.into_iter().map(|to| self.reply(to, key, result.clone())).collect()
    }

    pub(crate) fn forget(&mut self) {
        let is_done = |state: &AttemptState| matches!(state, AttemptState::Ended(_));
        self.held
            .values_mut()
            .filter(|held| is_done(&held.state))
            .for_each(|held| held.state = AttemptState::AnswerGone);
    }

    /// Answers a new owner, unless a newer one is known.
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
        let is_asked = |key: &AttemptKey| {
            let partition = Partition::of(key.task.job, count);
            owned.iter().any(|part| part.partition == partition)
        };
        let attempts = self
            .held
            .iter()
            .filter(|(key, _)| is_asked(key))
            .map(|(key, held)| StartedAttempt { key: *key, state: held.state.clone() });
        Some(StartedReport {
            incarnation: self.incarnation,
            memory_ms: now_ms - self.booted_ms,
            attempts: attempts.collect(),
        })
    }
}

fn not_started(reason: NotStarted) -> TaskResult {
    TaskResult::NotStarted(reason)
}
