//! What the parts of an agent share.

mod executor_news;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use direct::{
    AgentHello, AttemptOutcome, EntryHello, Report, SessionKey, Supervisor, SupervisorEffect,
    Timing, ToAgent, Upstream,
};
use indexmap::IndexMap;
use metrics::counter;
use platform::ExecutorClient;
use serde_json::json;
use tokio::{
    sync::{Notify, Semaphore},
    task::spawn_local,
};
use types::{Resources, StepError};

use crate::{
    DirectAgentSettings, ProcessSettings,
    agent::executor_calls,
    clock::{self, SuspensionWatch},
    events::{Events, Level},
    known_entries::KnownEntries,
};

/// Calls to the upstream under way at a time, beside the one that waits for ends. Source: well
/// below the connections that an upstream takes.
const CALLS_AT_A_TIME: usize = 12;

pub(crate) struct AgentState {
    pub(crate) timing: Timing,
    pub(crate) known: Rc<KnownEntries>,
    pub(crate) events: Rc<Events>,
    pub(crate) executor: ExecutorClient,
    pub(crate) calls: Semaphore,
    name: Arc<str>,
    grace_ms: Cell<u64>,
    incarnation: u64,
    supervisor: RefCell<Supervisor>,
    wakes: RefCell<IndexMap<SessionKey, Rc<Notify>>>,
    token: Cell<u64>,
    /// The upstream's clock less ours, milliseconds; nothing before its first answer.
    clock_offset_ms: Cell<Option<i64>>,
    suspensions: SuspensionWatch,
    /// Number of suspensions.
    epoch: Cell<u64>,
    is_open: Cell<bool>,
    last_free: Cell<Resources>,
    /// Number of the last end that the upstream has listed.
    pub(crate) last_end: Cell<u64>,
    upstream_incarnation: Cell<Option<u64>>,
}

impl AgentState {
    pub(crate) fn new(settings: &DirectAgentSettings) -> Result<Rc<Self>, StepError> {
        let process = &settings.process;
        let known = Rc::new(KnownEntries::from_seeds(process, None));
        let now_ms = clock::now_ms();
        let timeout = Duration::from_millis(process.timing.call_ms);
        Ok(Rc::new(Self {
            timing: process.timing,
            known,
            events: Events::start(&process.name, process.log_decisions),
            executor: ExecutorClient::new(settings.upstream, timeout)?,
            calls: Semaphore::new(CALLS_AT_A_TIME),
            name: Arc::clone(&process.name),
            grace_ms: Cell::new(process.grace_ms),
            incarnation: clock::unix_ms(),
            supervisor: RefCell::new(Supervisor::new(process.timing, now_ms)),
            wakes: RefCell::default(),
            token: Cell::new(0),
            clock_offset_ms: Cell::new(None),
            suspensions: SuspensionWatch::new(process.timing.suspension_ms),
            epoch: Cell::new(0),
            is_open: Cell::new(false),
            last_free: Cell::default(),
            last_end: Cell::new(0),
            upstream_incarnation: Cell::new(None),
        }))
    }

    /// Returns the time; notices a suspension before anything else is done after it.
    fn now_ms(&self) -> u64 {
        let (now_ms, suspended_ms) = self.suspensions.look();
        if let Some(gap_ms) = suspended_ms {
            self.events.line(Level::Notable, "suspended", &[("gap_ms", json!(gap_ms))]);
            self.epoch.set(self.epoch.get() + 1);
        }
        now_ms
    }

    /// Returns the longest time from a signal to stop to the end, milliseconds.
    pub(crate) fn grace_ms(&self) -> u64 {
        self.grace_ms.get()
    }

    /// Puts settings into force that may change while the process runs.
    pub(crate) fn adopt_settings(&self, process: &ProcessSettings) {
        self.known.add_seeds(process, None);
        self.grace_ms.set(process.grace_ms);
    }

    /// Returns the number of suspensions so far.
    pub(crate) fn epoch(&self) -> u64 {
        self.now_ms();
        self.epoch.get()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.supervisor.borrow().is_idle()
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_open.get()
    }

    pub(crate) fn has_pending_stop(&self) -> bool {
        self.supervisor.borrow().has_pending_stop()
    }

    pub(crate) fn token(&self) -> u64 {
        self.token.get()
    }

    pub(crate) fn heartbeat(self: &Rc<Self>, upstream: Upstream, seq: i64) {
        let known = self.supervisor.borrow().upstream().cloned();
        if known.as_ref() != Some(&upstream) {
            let fields = [
                ("upstream", json!(&*upstream.id)),
                ("born", json!(upstream.incarnation)),
                ("state", json!(format!("{:?}", upstream.state))),
                ("seq", json!(seq)),
            ];
            self.events.line(Level::Notable, "upstream", &fields);
        }
        let effects = self.supervisor.borrow_mut().on_heartbeat(upstream, seq);
        self.apply(effects);
    }

    pub(crate) fn upstream_leaves(self: &Rc<Self>, id: &str) {
        self.events.line(Level::Notable, "upstream_leaves", &[("upstream", json!(id))]);
        let is_known =
            self.supervisor.borrow().upstream().is_some_and(|upstream| &*upstream.id == id);
        if is_known {
            let effects = self.supervisor.borrow_mut().on_upstream_leaving();
            self.apply(effects);
        }
    }

    pub(crate) fn begin_drain(self: &Rc<Self>) {
        let effects = self.supervisor.borrow_mut().begin_drain();
        self.apply(effects);
    }

    pub(crate) fn tick(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let effects = self.supervisor.borrow_mut().tick(now_ms);
        self.apply(effects);
        let free = self.supervisor.borrow().free();
        if self.last_free.replace(free) != free {
            self.wakes.borrow().values().for_each(|wake| wake.notify_one());
        }
        self.events.flush();
    }

    pub(crate) fn hello(&self) -> AgentHello {
        AgentHello {
            agent: Arc::clone(&self.name),
            incarnation: self.incarnation,
            entries: self.known.connected(),
        }
    }

    pub(crate) fn entry_connected(self: &Rc<Self>, hello: &EntryHello) -> (SessionKey, Rc<Notify>) {
        let now_ms = self.now_ms();
        let (key, effects) = self.supervisor.borrow_mut().on_entry_hello(
            &hello.entry,
            hello.incarnation,
            &hello.outstanding,
            now_ms,
        );
        let wake = Rc::new(Notify::new());
        self.wakes.borrow_mut().insert(key, Rc::clone(&wake));
        let fields = [("entry", json!(&*hello.entry)), ("incarnation", json!(hello.incarnation))];
        self.events.line(Level::Notable, "entry_connected", &fields);
        self.apply(effects);
        (key, wake)
    }

    pub(crate) fn entry_said(self: &Rc<Self>, key: SessionKey, message: ToAgent) {
        let now_ms = self.now_ms();
        let mut supervisor = self.supervisor.borrow_mut();
        supervisor.on_entry_message(key, now_ms);
        let effects = match message {
            ToAgent::Start(batch) => supervisor.on_attempts(key, &batch),
            ToAgent::Stop(ids) => supervisor.on_stop(key, &ids),
            ToAgent::Heartbeat(entries) => {
                self.known.add_all(&entries);
                Vec::new()
            }
            ToAgent::Hello(_) => Vec::new(),
        };
        drop(supervisor);
        self.apply(effects);
    }

    pub(crate) fn entry_gone(&self, key: SessionKey, wake: &Rc<Notify>, cause: Option<&StepError>) {
        let mut wakes = self.wakes.borrow_mut();
        // A newer connection of the same session has another waker.
        if wakes.get(&key).is_none_or(|known| !Rc::ptr_eq(known, wake)) {
            return;
        }
        wakes.swap_remove(&key);
        drop(wakes);
        let cause = cause.map_or_else(|| "silent".to_owned(), ToString::to_string);
        let entry = self.supervisor.borrow().session_entry(key).map(ToString::to_string);
        let fields = [("entry", json!(entry)), ("cause", json!(cause))];
        self.events.line(Level::Notable, "entry_lost", &fields);
        self.supervisor.borrow_mut().on_disconnected(key);
    }

    /// Takes the next report; `sent` is the upstream as it was last reported on the connection.
    pub(crate) fn report(&self, key: SessionKey, sent: &mut Option<Upstream>) -> Option<Report> {
        let mut supervisor = self.supervisor.borrow_mut();
        let is_news = supervisor.upstream() != sent.as_ref();
        let report = supervisor.report(key, is_news)?;
        if is_news {
            *sent = supervisor.upstream().cloned();
        }
        Some(report)
    }

    fn apply(self: &Rc<Self>, effects: Vec<SupervisorEffect>) {
        for effect in effects {
            match effect {
                SupervisorEffect::Start(start) => {
                    spawn_local(executor_calls::start(Rc::clone(self), start));
                }
                SupervisorEffect::Stop(task, run) => {
                    spawn_local(executor_calls::stop(Rc::clone(self), task, run));
                }
                SupervisorEffect::PollRuns => {
                    spawn_local(executor_calls::look(Rc::clone(self)));
                }
                SupervisorEffect::Report(key) => {
                    if let Some(wake) = self.wakes.borrow().get(&key) {
                        wake.notify_one();
                    }
                }
                SupervisorEffect::Open => {
                    self.is_open.set(true);
                    self.events.line(Level::Notable, "open", &[]);
                }
                SupervisorEffect::Settled(task, attempt, outcome) => {
                    counter!("agent_orders", "outcome" => outcome.name()).increment(1);
                    let level = match outcome {
                        AttemptOutcome::Done { .. } => Level::Routine,
                        _ => Level::Notable,
                    };
                    let fields = [
                        ("job", json!(&*task.job)),
                        ("task", json!(task.to_string())),
                        ("order", json!(attempt.map(|id| id.0))),
                        ("outcome", json!(outcome.name())),
                    ];
                    self.events.line(level, "settled", &fields);
                }
            }
        }
    }
}
