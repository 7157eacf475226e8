//! The agent's core actor: the only owner of its slots, its queue and its memory of starts.

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
    attempt_memory::{AttemptMemory, Phase},
    messages::{
        Cancel, Drain, Ended, EntryGone, Greet, GreetReply, Inquire, InquireReply, ReplyTx, Run,
        Started, StartedReply, Tick,
    },
    metric_names,
    pause_watch::PauseWatch,
    run_end::RunEnd,
    settings::MemorySettings,
    upstream::Upstream,
};

struct Waiting {
    start: TaskStart,
    since: Instant,
    deadline: Instant,
    span: HopSpan,
}

struct Running {
    queued: Duration,
    stop: tokio::task::AbortHandle,
}

pub(crate) struct Core {
    identity: AgentIdentity,
    upstream: Upstream,
    slots: SlotTable,
    memory: AttemptMemory,
    waiting: HashMap<AttemptKey, Waiting>,
    running: HashMap<AttemptKey, Running>,
    epochs: IndexMap<Partition, Epoch>,
    started_at: Instant,
    pauses: Arc<PauseWatch>,
    drained: Vec<oneshot::Sender<()>>,
    is_leaving: bool,
}

impl Core {
    pub(crate) fn new(
        identity: AgentIdentity,
        upstream: Upstream,
        settings: &MemorySettings,
    ) -> Self {
        let window = Duration::from_secs(settings.window_s);
        let limits = SlotLimits::new(identity.slots, identity.capacity)
            .connections(identity.connections)
            .queue_len(settings.queue_tasks as u32);
        Self {
            identity,
            upstream,
            slots: SlotTable::new(limits),
            memory: AttemptMemory::new(window, settings.answer_bytes),
            waiting: HashMap::new(),
            running: HashMap::new(),
            epochs: IndexMap::new(),
            started_at: Instant::now(),
            pauses: PauseWatch::spawn(),
            drained: Vec::new(),
            is_leaving: false,
        }
    }

    fn load(&self) -> LoadReport {
        let load = self.slots.load();
        LoadReport { running: load.running, queued: load.queued, free: load.free }
    }

    fn refusal(&self, start: &TaskStart) -> Option<NotStarted> {
        if start.agent != self.identity.incarnation {
            return Some(NotStarted::OtherIncarnation);
        }
        if self.epochs.get(&start.partition).is_some_and(|highest| start.epoch < *highest) {
            return Some(NotStarted::StaleEpoch);
        }
        None
    }

    fn learn_epochs(&mut self, owned: &[OwnedPartition]) {
        for claim in owned {
            let highest = self.epochs.entry(claim.partition).or_default();
            *highest = claim.epoch.max(*highest);
        }
    }

    fn accept(&mut self, start: TaskStart, tx: ReplyTx, core: &ActorRef<Self>) {
        if let Some(reason) = self.refusal(&start) {
            return self.refuse(start.key, &start.entry.name, reason, tx);
        }
        self.learn_epochs(&[OwnedPartition { partition: start.partition, epoch: start.epoch }]);
        if let Some(attempt) = self.memory.get_mut(&start.key) {
            metrics::counter!(metric_names::JOINED).increment(1);
            match &attempt.phase {
                Phase::Queued | Phase::Running => attempt.waiters.push(tx),
                Phase::Ended { result, .. } => {
                    let gone = || TaskResult::Unknown("answer is no longer kept".to_owned());
                    let result = result.clone().unwrap_or_else(gone);
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
                self.memory.insert_queued(start.key, start.partition, tx);
                let key = start.key;
                let max_age = self.pauses.max_age();
                self.waiting.insert(key, waiting(start, max_age));
                if decision == SlotDecision::Start {
                    self.start(key, core);
                }
            }
        }
    }

    fn refuse(&mut self, key: AttemptKey, entry: &EntryName, reason: NotStarted, tx: ReplyTx) {
        metrics::counter!(metric_names::REFUSED).increment(1);
        self.memory.insert_refused(key, Instant::now());
        let offers = self.slots.take_offers_delta(entry);
        let result = TaskResult::NotStarted(reason);
        let _ = tx.send(self.reply(key, result, Duration::ZERO, offers));
    }

    fn reply(
        &self,
        key: AttemptKey,
        result: TaskResult,
        queued: Duration,
        offers: i32,
    ) -> TaskReply {
        let queued_us = queued.as_micros() as u64;
        TaskReply { key, result, queued_us, offers, load: self.load(), usage: None }
    }

    /// Starts an attempt that holds a slot, unless its time is up.
    fn start(&mut self, key: AttemptKey, core: &ActorRef<Self>) {
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        let now = Instant::now();
        let queued = now.duration_since(waiting.since);
        if waiting.deadline <= now {
            let task = tokio::spawn(async {});
            self.running.insert(key, Running { queued, stop: task.abort_handle() });
            return self.end(key, TaskResult::NotStarted(NotStarted::Expired).into(), core);
        }
        metrics::counter!(metric_names::STARTS).increment(1);
        self.memory.set_running(&key);
        let upstream = self.upstream.clone();
        let core = core.clone();
        let task = tokio::spawn(async move {
            let span = waiting.span;
            let run = upstream.run(&span, waiting.start, waiting.deadline);
            let end = AssertUnwindSafe(run).catch_unwind().await.unwrap_or_else(|_| panicked());
            drop(span);
            let _ = core.tell(Ended { key, end }).await;
        });
        self.running.insert(key, Running { queued, stop: task.abort_handle() });
    }

    fn start_all(&mut self, keys: Vec<AttemptKey>, core: &ActorRef<Self>) {
        keys.into_iter().for_each(|key| self.start(key, core));
    }

    /// Ends an attempt that holds a slot.
    fn end(&mut self, key: AttemptKey, end: RunEnd, core: &ActorRef<Self>) {
        let Some(run) = self.running.remove(&key) else {
            return;
        };
        let finished = self.slots.finish(&key).unwrap_or_default();
        self.answer(key, end, run.queued, finished.offers_delta);
        self.start_all(finished.start_next, core);
    }

    fn answer(&mut self, key: AttemptKey, end: RunEnd, queued: Duration, offers: i32) {
        let reply = self.reply(key, end.result.clone(), queued, offers);
        let reply = TaskReply { usage: end.usage, ..reply };
        let waiters = self.memory.end(key, end.result, Instant::now());
        let later = TaskReply { offers: 0, usage: None, ..reply.clone() };
        let mut reply = Some(reply);
        waiters.into_iter().for_each(|tx| {
            let _ = tx.send(reply.take().unwrap_or_else(|| later.clone()));
        });
    }

    fn recall(&mut self, key: &AttemptKey, core: &ActorRef<Self>) {
        let recalled = self.slots.recall(key);
        if recalled.removed {
            self.drop_waiting(key, NotStarted::Recalled);
        }
        self.start_all(recalled.start_next, core);
    }

    fn drop_waiting(&mut self, key: &AttemptKey, reason: NotStarted) {
        if let Some(waiting) = self.waiting.remove(key) {
            let offers = self.slots.take_offers_delta(&waiting.start.entry.name);
            let queued = waiting.since.elapsed();
            self.answer(*key, TaskResult::NotStarted(reason).into(), queued, offers);
        }
    }

    fn stop_running(&mut self, key: &AttemptKey, core: &ActorRef<Self>) {
        if let Some(run) = self.running.get(key) {
            run.stop.abort();
            self.end(*key, TaskResult::Unknown("stopped by the entry".to_owned()).into(), core);
        }
    }

    fn expire_waiting(&mut self, core: &ActorRef<Self>) {
        let now = Instant::now();
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            let recalled = self.slots.recall(&key);
            if recalled.removed {
                self.drop_waiting(&key, NotStarted::Expired);
            }
            self.start_all(recalled.start_next, core);
        }
    }

    fn tell_drained(&mut self) {
        if self.is_leaving && self.running.is_empty() && self.waiting.is_empty() {
            self.drained.drain(..).for_each(|tx| {
                let _ = tx.send(());
            });
        }
    }
}

/// Takes a request in that may have arrived `max_age` ago.
fn waiting(start: TaskStart, max_age: Duration) -> Waiting {
    let span = HopSpan::start(Hop::Agent, start.traceparent.as_deref());
    span.set_attribute("task", start.key);
    let since = Instant::now();
    let left = Duration::from_millis(start.timeout_ms).saturating_sub(max_age);
    Waiting { deadline: since + left, since, span, start }
}

fn panicked() -> RunEnd {
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

impl Message<Run> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: Run, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        self.accept(msg.start, msg.tx, &core);
    }
}

impl Message<Ended> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: Ended, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        self.end(msg.key, msg.end, &core);
        self.tell_drained();
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
        self.tell_drained();
    }
}

impl Message<EntryGone> for Core {
    type Reply = ();

    async fn handle(&mut self, msg: EntryGone, _: &mut Context<Self, ()>) {
        self.slots.disconnect_entry(&msg.0);
    }
}

impl Message<Inquire> for Core {
    type Reply = InquireReply;

    async fn handle(&mut self, msg: Inquire, _: &mut Context<Self, InquireReply>) -> InquireReply {
        let now = Instant::now();
        let states = msg.0.into_iter().map(|key| {
            self.memory.state(&key).unwrap_or_else(|| {
                self.memory.insert_refused(key, now);
                AttemptState::NeverStarted
            })
        });
        InquireReply(states.collect())
    }
}

impl Message<Started> for Core {
    type Reply = StartedReply;

    async fn handle(&mut self, msg: Started, _: &mut Context<Self, StartedReply>) -> StartedReply {
        self.learn_epochs(&msg.0.partitions);
        let asked: HashSet<_> = msg.0.partitions.iter().map(|claim| claim.partition).collect();
        StartedReply(StartedReport {
            incarnation: self.identity.incarnation,
            memory_ms: self.started_at.elapsed().as_millis() as u64,
            attempts: self.memory.report(|partition| asked.contains(&partition)),
        })
    }
}

impl Message<Greet> for Core {
    type Reply = GreetReply;

    async fn handle(&mut self, msg: Greet, _: &mut Context<Self, GreetReply>) -> GreetReply {
        self.learn_epochs(&msg.0.owned);
        let is_stale = msg
            .0
            .owned
            .iter()
            .any(|claim| self.epochs.get(&claim.partition).is_some_and(|e| claim.epoch < *e));
        let offers = match msg.0.is_new_link {
            true => Some(self.slots.connect_entry(&msg.0.entry.name)),
            false => None,
        };
        GreetReply(HelloReply {
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
        self.drained.push(msg.tx);
        for key in self.slots.drain() {
            self.drop_waiting(&key, NotStarted::Leaving);
        }
        self.tell_drained();
    }
}

impl Message<Tick> for Core {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        let core = cx.actor_ref().clone();
        self.expire_waiting(&core);
        self.memory.expire(Instant::now());
        let load = self.load();
        metrics::gauge!(metric_names::RUNNING).set(load.running);
        metrics::gauge!(metric_names::QUEUED).set(load.queued);
        metrics::gauge!(metric_names::REMEMBERED).set(self.memory.len() as f64);
    }
}
