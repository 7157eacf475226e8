//! The actor that alone owns the agent's slots, its queue and its table of attempts.

use std::{
    collections::{HashMap, HashSet},
    panic::AssertUnwindSafe,
    sync::Arc,
};

use futures::FutureExt;
use indexmap::IndexMap;
use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    message::{Context, Message},
};
use placement::{SlotDecision, SlotLimits, SlotRefusal, SlotTable, StartRequest};
use rpc::{
    AgentIdentity, AttemptState, HelloReply, LoadReport, NotStarted, OwnedPartition, StartedReport,
    TaskReply, TaskResult, TaskStart,
};
use telemetry::{Hop, HopSpan};
use tokio::{
    sync::oneshot,
    time::{Duration, Instant},
};
use types::{AttemptKey, EntryName, Epoch, Partition};

use crate::{
    attempt_table::{AttemptTable, Phase},
    messages::{
        Cancel, Drain, EntryLost, Handshake, HandshakeReply, QueryAttempts, QueryAttemptsReply,
        QueryStarted, QueryStartedReply, ReplyTx, RunAttempt, RunEnded, Tick,
    },
    metric_names,
    pause_detector::PauseDetector,
    run_outcome::RunOutcome,
    settings::MemorySettings,
    upstream::Upstream,
};

/// An attempt that waits for a slot.
struct QueuedAttempt {
    start: TaskStart,
    queued_at: Instant,
    deadline: Instant,
    span: HopSpan,
}

/// An attempt that holds a slot.
struct RunningAttempt {
    queue_time: Duration,
    stop: tokio::task::AbortHandle,
}

/// State of the actor.  `epochs` holds the highest known epoch of each partition.
pub(crate) struct Core {
    identity: AgentIdentity,
    upstream: Upstream,
    slots: SlotTable,
    attempts: AttemptTable,
    queued: HashMap<AttemptKey, QueuedAttempt>,
    running: HashMap<AttemptKey, RunningAttempt>,
    epochs: IndexMap<Partition, Epoch>,
    started_at: Instant,
    pause_detector: Arc<PauseDetector>,
    drain_waiters: Vec<oneshot::Sender<()>>,
    is_leaving: bool,
}

impl Core {
    pub(crate) fn new(
        identity: AgentIdentity,
        upstream: Upstream,
        settings: &MemorySettings,
    ) -> Self {
        let retention = Duration::from_secs(settings.window_s);
        let limits = SlotLimits::new(identity.slots, identity.capacity)
            .connections(identity.connections)
            .queue_len(settings.queue_tasks as u32);
        Self {
            identity,
            upstream,
            slots: SlotTable::new(limits),
            attempts: AttemptTable::new(retention, settings.answer_bytes),
            queued: HashMap::new(),
            running: HashMap::new(),
            epochs: IndexMap::new(),
            started_at: Instant::now(),
            pause_detector: PauseDetector::spawn(),
            drain_waiters: Vec::new(),
            is_leaving: false,
        }
    }

    fn load(&self) -> LoadReport {
        let load = self.slots.load();
        LoadReport { running: load.running, queued: load.queued, free: load.free }
    }

    /// Returns why the sender of a start is out of date, if it is.
    fn stale_reason(&self, start: &TaskStart) -> Option<NotStarted> {
        if start.agent != self.identity.incarnation {
            return Some(NotStarted::OtherIncarnation);
        }
        if self.epochs.get(&start.partition).is_some_and(|highest| start.epoch < *highest) {
            return Some(NotStarted::StaleEpoch);
        }
        None
    }

    fn record_epochs(&mut self, owned: &[OwnedPartition]) {
        for claim in owned {
            let highest = self.epochs.entry(claim.partition).or_default();
            *highest = claim.epoch.max(*highest);
        }
    }

    /// Starts, queues or refuses an attempt.  A repeated request with the same key starts nothing
    /// and receives the result of the first one.
    fn run_attempt(&mut self, start: TaskStart, tx: ReplyTx, core: &ActorRef<Self>) {
        if let Some(reason) = self.stale_reason(&start) {
            return self.refuse(start.key, &start.entry.name, reason, tx);
        }
        self.record_epochs(&[OwnedPartition { partition: start.partition, epoch: start.epoch }]);
        if let Some(attempt) = self.attempts.get_mut(&start.key) {
            metrics::counter!(metric_names::JOINED).increment(1);
            match &attempt.phase {
                Phase::Queued | Phase::Running => attempt.waiters.push(tx),
                Phase::Ended { result, .. } => {
                    let discarded = || TaskResult::Unknown("answer is no longer kept".to_owned());
                    let result = result.clone().unwrap_or_else(discarded);
                    let reply = self.reply(start.key, result, Duration::ZERO, 0);
                    let _ = tx.send(reply);
                }
            }
            return;
        }
        let req = StartRequest {
            key: start.key,
            entry: start.entry.name.clone(),
            charge: start.resources,
            uses_offer: start.uses_offer,
            rank: start.urgency.index() as u64,
        };
        match self.slots.request_start(req) {
            SlotDecision::Refuse(reason) => {
                let reason = not_started(reason);
                self.refuse(start.key, &start.entry.name, reason, tx);
            }
            decision => {
                self.attempts.insert_queued(start.key, start.partition, tx);
                let key = start.key;
                let max_request_age = self.pause_detector.max_request_age();
                self.queued.insert(key, queued_attempt(start, max_request_age));
                if decision == SlotDecision::Start {
                    self.start(key, core);
                }
            }
        }
    }

    fn refuse(&mut self, key: AttemptKey, entry: &EntryName, reason: NotStarted, tx: ReplyTx) {
        metrics::counter!(metric_names::REFUSED).increment(1);
        self.attempts.insert_refused(key, Instant::now());
        let offers = self.slots.take_offers_delta(entry);
        let result = TaskResult::NotStarted(reason);
        let _ = tx.send(self.reply(key, result, Duration::ZERO, offers));
    }

    fn reply(
        &self,
        key: AttemptKey,
        result: TaskResult,
        queue_time: Duration,
        offers: i32,
    ) -> TaskReply {
        let queued_us = queue_time.as_micros() as u64;
        TaskReply { key, result, queued_us, offers, load: self.load(), usage: None }
    }

    /// Starts an attempt that has been given a slot, or refuses it if its deadline has passed.
    fn start(&mut self, key: AttemptKey, core: &ActorRef<Self>) {
        let Some(queued) = self.queued.remove(&key) else {
            return;
        };
        let now = Instant::now();
        let queue_time = now.duration_since(queued.queued_at);
        if queued.deadline <= now {
            let task = tokio::spawn(async {});
            self.running.insert(key, RunningAttempt { queue_time, stop: task.abort_handle() });
            return self.finish(key, TaskResult::NotStarted(NotStarted::Expired).into(), core);
        }
        metrics::counter!(metric_names::STARTS).increment(1);
        self.attempts.set_running(&key);
        let upstream = self.upstream.clone();
        let core = core.clone();
        let task = tokio::spawn(async move {
            let span = queued.span;
            let run = upstream.run(&span, queued.start, queued.deadline);
            let outcome =
                AssertUnwindSafe(run).catch_unwind().await.unwrap_or_else(|_| panic_outcome());
            drop(span);
            let _ = core.tell(RunEnded { key, outcome }).await;
        });
        self.running.insert(key, RunningAttempt { queue_time, stop: task.abort_handle() });
    }

    fn start_all(&mut self, keys: Vec<AttemptKey>, core: &ActorRef<Self>) {
        keys.into_iter().for_each(|key| self.start(key, core));
    }

    /// Finishes an attempt that holds a slot and starts the queued attempts that then fit.
    fn finish(&mut self, key: AttemptKey, outcome: RunOutcome, core: &ActorRef<Self>) {
        let Some(run) = self.running.remove(&key) else {
            return;
        };
        let finished = self.slots.finish(&key).unwrap_or_default();
        self.send_replies(key, outcome, run.queue_time, finished.offers_delta);
        self.start_all(finished.start_next, core);
    }

    /// Sends the reply of an attempt to each request that waits for it.  Only the first reply
    /// carries offers and usage, so that they count once.
    fn send_replies(
        &mut self,
        key: AttemptKey,
        outcome: RunOutcome,
        queue_time: Duration,
        offers: i32,
    ) {
        let reply = self.reply(key, outcome.result.clone(), queue_time, offers);
        let reply = TaskReply { usage: outcome.usage, ..reply };
        let waiters = self.attempts.finish(key, outcome.result, Instant::now());
        let repeated = TaskReply { offers: 0, usage: None, ..reply.clone() };
        let mut reply = Some(reply);
        waiters.into_iter().for_each(|tx| {
            let _ = tx.send(reply.take().unwrap_or_else(|| repeated.clone()));
        });
    }

    fn recall(&mut self, key: &AttemptKey, core: &ActorRef<Self>) {
        let recalled = self.slots.recall(key);
        if recalled.removed {
            self.refuse_queued(key, NotStarted::Recalled);
        }
        self.start_all(recalled.start_next, core);
    }

    fn refuse_queued(&mut self, key: &AttemptKey, reason: NotStarted) {
        if let Some(queued) = self.queued.remove(key) {
            let offers = self.slots.take_offers_delta(&queued.start.entry.name);
            let queue_time = queued.queued_at.elapsed();
            self.send_replies(*key, TaskResult::NotStarted(reason).into(), queue_time, offers);
        }
    }

    fn stop_running(&mut self, key: &AttemptKey, core: &ActorRef<Self>) {
        if let Some(run) = self.running.get(key) {
            run.stop.abort();
            self.finish(*key, TaskResult::Unknown("stopped by the entry".to_owned()).into(), core);
        }
    }

    fn expire_queued(&mut self, core: &ActorRef<Self>) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .queued
            .iter()
            .filter(|(_, queued)| queued.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            let recalled = self.slots.recall(&key);
            if recalled.removed {
                self.refuse_queued(&key, NotStarted::Expired);
            }
            self.start_all(recalled.start_next, core);
        }
    }

    fn notify_drained(&mut self) {
        if self.is_leaving && self.running.is_empty() && self.queued.is_empty() {
            self.drain_waiters.drain(..).for_each(|tx| {
                let _ = tx.send(());
            });
        }
    }
}

/// Creates a queued attempt from a request that may have arrived up to `max_request_age` ago.
/// The time to its deadline is shortened by that much.
fn queued_attempt(start: TaskStart, max_request_age: Duration) -> QueuedAttempt {
    let span = HopSpan::start(Hop::Agent, start.traceparent.as_deref());
    span.set_attribute("task", start.key);
    let queued_at = Instant::now();
    let remaining = Duration::from_millis(start.timeout_ms).saturating_sub(max_request_age);
    QueuedAttempt { deadline: queued_at + remaining, queued_at, span, start }
}

fn panic_outcome() -> RunOutcome {
    TaskResult::Unknown("the agent failed while the task ran".to_owned()).into()
}

fn not_started(reason: SlotRefusal) -> NotStarted {
    match reason {
        SlotRefusal::Leaving => NotStarted::Leaving,
        SlotRefusal::QueueFull => NotStarted::QueueFull,
        SlotRefusal::NoResources => NotStarted::NoResources,
        SlotRefusal::Duplicate => NotStarted::Recalled,
    }
}

impl Actor for Core {
    type Args = Self;
    type Error = kameo::error::Infallible;

    async fn on_start(state: Self, core: ActorRef<Self>) -> Result<Self, Self::Error> {
        const TICK: Duration = Duration::from_secs(1);
        let weak: WeakActorRef<Self> = core.downgrade();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                let Some(core) = weak.upgrade() else { return };
                if core.tell(Tick).await.is_err() {
                    return;
                }
            }
        });
        Ok(state)
    }
}

impl Message<RunAttempt> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: RunAttempt, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        self.run_attempt(msg.start, msg.tx, &core);
    }
}

impl Message<RunEnded> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: RunEnded, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        self.finish(msg.key, msg.outcome, &core);
        self.notify_drained();
    }
}

impl Message<Cancel> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        for key in &msg.0.keys {
            self.recall(key, &core);
            if msg.0.stop_running {
                self.stop_running(key, &core);
            }
        }
        self.notify_drained();
    }
}

impl Message<EntryLost> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: EntryLost, _: &mut Context<Self, ()>) {
        self.slots.disconnect_entry(&msg.0);
    }
}

impl Message<QueryAttempts> for Core {
    type Reply = QueryAttemptsReply;

    async fn handle(
        &mut self,
        msg: QueryAttempts,
        _: &mut Context<Self, QueryAttemptsReply>,
    ) -> QueryAttemptsReply {
        let now = Instant::now();
        let states = msg.0.into_iter().map(|key| {
            self.attempts.state(&key).unwrap_or_else(|| {
                self.attempts.insert_refused(key, now);
                AttemptState::NeverStarted
            })
        });
        QueryAttemptsReply(states.collect())
    }
}

impl Message<QueryStarted> for Core {
    type Reply = QueryStartedReply;

    async fn handle(
        &mut self,
        msg: QueryStarted,
        _: &mut Context<Self, QueryStartedReply>,
    ) -> QueryStartedReply {
        self.record_epochs(&msg.0.partitions);
        let queried: HashSet<_> = msg.0.partitions.iter().map(|claim| claim.partition).collect();
        QueryStartedReply(StartedReport {
            incarnation: self.identity.incarnation,
            memory_ms: self.started_at.elapsed().as_millis() as u64,
            attempts: self.attempts.list_started(|partition| queried.contains(&partition)),
        })
    }
}

impl Message<Handshake> for Core {
    type Reply = HandshakeReply;

    async fn handle(
        &mut self,
        msg: Handshake,
        _: &mut Context<Self, HandshakeReply>,
    ) -> HandshakeReply {
        self.record_epochs(&msg.0.owned);
        let is_stale = msg
            .0
            .owned
            .iter()
            .any(|claim| self.epochs.get(&claim.partition).is_some_and(|e| claim.epoch < *e));
        let offers = match msg.0.is_new_link {
            true => Some(self.slots.connect_entry(&msg.0.entry.name)),
            false => None,
        };
        HandshakeReply(HelloReply {
            incarnation: self.identity.incarnation,
            memory_ms: self.started_at.elapsed().as_millis() as u64,
            offers,
            is_stale,
            load: self.load(),
        })
    }
}

impl Message<Drain> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: Drain, _: &mut Context<Self, ()>) {
        self.is_leaving = true;
        self.drain_waiters.push(msg.tx);
        for key in self.slots.drain() {
            self.refuse_queued(&key, NotStarted::Leaving);
        }
        self.notify_drained();
    }
}

impl Message<Tick> for Core {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        self.expire_queued(&core);
        self.attempts.expire(Instant::now());
        let load = self.load();
        metrics::gauge!(metric_names::RUNNING).set(load.running);
        metrics::gauge!(metric_names::QUEUED).set(load.queued);
        metrics::gauge!(metric_names::REMEMBERED).set(self.attempts.len() as f64);
    }
}
