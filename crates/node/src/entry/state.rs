//! What the parts of an entry share.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use direct::{
    Admission, AgentHello, AgentKey, AttemptId, DirectJob, Dispatcher, DispatcherEffect, JobKey,
    JobOutcome, PoolCapacity, RefusalReason, Report, Routing, Timing, ToAgent,
};
use indexmap::IndexMap;
use metrics::{counter, gauge};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use types::StepError;

use crate::{
    DirectEntrySettings, ProcessSettings,
    clock::{self, SuspensionWatch},
    events::{Events, Level},
    http_server::ConnectionLimits,
    known_entries::KnownEntries,
    peer_links::ConfigHolder,
};

/// How long submissions are refused after a suspension, milliseconds: what was received in it
/// may be as old as the suspension is long.
const SUSPENDED_REFUSAL_MS: u64 = 200;

pub(crate) struct EntryState {
    pub(crate) timing: Timing,
    pub(crate) incarnation: u64,
    pub(crate) links: SocketAddr,
    pub(crate) known: Rc<KnownEntries>,
    pub(crate) events: Rc<Events>,
    name: Arc<str>,
    grace_ms: Cell<u64>,
    dispatcher: RefCell<Dispatcher>,
    answers: RefCell<IndexMap<JobKey, oneshot::Sender<JobOutcome>>>,
    agents: RefCell<IndexMap<AgentKey, Connection>>,
    next_connection: Cell<u64>,
    config: RefCell<Option<Config>>,
    suspensions: SuspensionWatch,
    refuse_until_ms: Cell<u64>,
}

struct Connection {
    number: u64,
    outbox: mpsc::Sender<ToAgent>,
}

struct Config {
    routing: Rc<Routing>,
    raw: Vec<u8>,
}

impl EntryState {
    pub(crate) fn new(settings: &DirectEntrySettings) -> Rc<Self> {
        let process = &settings.process;
        let known = Rc::new(KnownEntries::from_seeds(process, Some(settings.links)));
        Rc::new(Self {
            timing: process.timing,
            incarnation: clock::unix_ms(),
            links: settings.links,
            known,
            events: Events::start(&process.name, process.log_decisions),
            name: Arc::clone(&process.name),
            grace_ms: Cell::new(process.grace_ms),
            dispatcher: RefCell::new(Dispatcher::new(process.timing, Arc::clone(&settings.zone))),
            answers: RefCell::default(),
            agents: RefCell::default(),
            next_connection: Cell::new(0),
            config: RefCell::default(),
            suspensions: SuspensionWatch::new(process.timing.suspension_ms),
            refuse_until_ms: Cell::new(0),
        })
    }

    pub(crate) fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// Returns the longest time from a signal to stop to the end, milliseconds.
    pub(crate) fn grace_ms(&self) -> u64 {
        self.grace_ms.get()
    }

    /// Puts settings into force that may change while the process runs.
    pub(crate) fn adopt_settings(&self, process: &ProcessSettings) {
        self.known.add_seeds(process, Some(self.links));
        self.grace_ms.set(process.grace_ms);
    }

    /// Returns the time; notices a suspension before anything else is done after it.
    fn now_ms(&self) -> u64 {
        let (now_ms, suspended_ms) = self.suspensions.look();
        if let Some(gap_ms) = suspended_ms {
            self.events.line(Level::Notable, "suspended", &[("gap_ms", json!(gap_ms))]);
            self.refuse_until_ms.set(now_ms + SUSPENDED_REFUSAL_MS);
            self.dispatcher.borrow_mut().set_admission(Admission::Closed(RefusalReason::Suspended));
        } else if now_ms >= self.refuse_until_ms.get() {
            self.dispatcher.borrow_mut().set_admission(Admission::Open);
        }
        now_ms
    }

    pub(crate) fn is_ready(&self) -> bool {
        let now_ms = self.now_ms();
        self.config.borrow().is_some() && self.dispatcher.borrow().has_open_agent(now_ms)
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.answers.borrow().is_empty()
    }

    pub(crate) fn unanswered(&self) -> usize {
        self.answers.borrow().len()
    }

    /// Returns what there is room for in a pool.
    pub(crate) fn pool_capacity(&self, pool: &str) -> PoolCapacity {
        self.dispatcher.borrow().pool_capacity(pool, self.suspensions.last_ms())
    }

    pub(crate) fn routing(&self) -> Option<Rc<Routing>> {
        self.config.borrow().as_ref().map(|config| Rc::clone(&config.routing))
    }

    pub(crate) fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.routing().map(|routing| routing.limits).unwrap_or_default();
        ConnectionLimits { header_bytes: limits.header_bytes, idle_ms: limits.idle_ms }
    }

    /// Puts a configuration into force unless a newer one is.
    pub(crate) fn adopt_config(&self, raw: &[u8], source: &str) {
        let Some(routing) = platform::decode_config(raw) else {
            self.events.line(Level::Notable, "config_unreadable", &[("source", json!(source))]);
            return;
        };
        if self.version() >= routing.version {
            return;
        }
        let fields = [
            ("version", json!(routing.version)),
            ("queues", json!(routing.len())),
            ("source", json!(source)),
        ];
        self.events.line(Level::Notable, "config_in_force", &fields);
        #[allow(clippy::cast_precision_loss)]
        gauge!("entry_config_version").set(routing.version as f64);
        *self.config.borrow_mut() = Some(Config { routing: Rc::new(routing), raw: raw.to_vec() });
    }

    /// Takes a submission; the answer comes through the receiver.
    pub(crate) fn submit(&self, job: DirectJob) -> (JobKey, oneshot::Receiver<JobOutcome>) {
        let now_ms = self.now_ms();
        let (tx, rx) = oneshot::channel();
        let (key, effects) = self.dispatcher.borrow_mut().submit(job, now_ms);
        self.answers.borrow_mut().insert(key, tx);
        self.apply(effects);
        (key, rx)
    }

    /// Takes the word that the client of a submission has gone.
    pub(crate) fn cancel(&self, key: JobKey) {
        if self.answers.borrow_mut().swap_remove(&key).is_none() {
            return;
        }
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().cancel(key, now_ms);
        self.apply(effects);
    }

    pub(crate) fn tick(&self) {
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().tick(now_ms);
        self.apply(effects);
        self.events.flush();
    }

    pub(crate) fn agent_connected(
        &self,
        hello: &AgentHello,
        outbox: mpsc::Sender<ToAgent>,
    ) -> (AgentKey, u64, Vec<AttemptId>) {
        let now_ms = self.now_ms();
        self.known.add_all(&hello.entries);
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        let (key, outstanding, effects) =
            self.dispatcher.borrow_mut().on_agent_hello(hello, now_ms);
        self.agents.borrow_mut().insert(key, Connection { number, outbox });
        self.agent_line("agent_connected", key, &[("incarnation", json!(hello.incarnation))]);
        self.apply(effects);
        (key, number, outstanding)
    }

    pub(crate) fn agent_reported(&self, key: AgentKey, connection: u64, report: Report) {
        if self.agents.borrow().get(&key).is_none_or(|known| known.number != connection) {
            return;
        }
        if let Some(upstream) = &report.upstream {
            let fields = [
                ("upstream", json!(&*upstream.id)),
                ("state", json!(format!("{:?}", upstream.state))),
                ("born", json!(upstream.incarnation)),
            ];
            self.agent_line("upstream", key, &fields);
        }
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().on_report(key, report, now_ms);
        self.apply(effects);
    }

    pub(crate) fn agent_gone(&self, key: AgentKey, connection: u64, cause: Option<&StepError>) {
        let mut agents = self.agents.borrow_mut();
        if agents.get(&key).is_none_or(|known| known.number != connection) {
            return;
        }
        agents.swap_remove(&key);
        drop(agents);
        let cause = cause.map_or_else(|| "silent".to_owned(), ToString::to_string);
        self.agent_line("agent_lost", key, &[("cause", json!(cause))]);
        self.dispatcher.borrow_mut().on_disconnected(key);
    }

    fn agent_line(&self, event: &'static str, key: AgentKey, fields: &[(&str, Value)]) {
        let name = self.dispatcher.borrow().agent_name(key).map(ToString::to_string);
        let mut all = vec![("agent", json!(name))];
        all.extend(fields.iter().cloned());
        self.events.line(Level::Notable, event, &all);
    }

    fn apply(&self, effects: Vec<DispatcherEffect>) {
        for effect in effects {
            match effect {
                DispatcherEffect::Send(agent, message) => self.send(agent, message),
                DispatcherEffect::Answer(key, end) => {
                    if let Some(answer) = self.answers.borrow_mut().swap_remove(&key) {
                        // The client has gone in this moment; nobody is left to tell.
                        let _ = answer.send(end);
                    }
                }
                DispatcherEffect::EjectionChanged { agent, is_ejected } => {
                    let fields = [("agent", json!(&*agent)), ("is_ejected", json!(is_ejected))];
                    self.events.line(Level::Notable, "upstream_judged", &fields);
                }
            }
        }
    }

    /// Sends to an agent; what cannot be sent is settled when the agent connects again.
    fn send(&self, agent: AgentKey, message: ToAgent) {
        if let ToAgent::Start(batch) = &message {
            let view = self.dispatcher.borrow().agent_summary(agent, self.suspensions.last_ms());
            counter!("entry_orders").increment(batch.attempts.len() as u64);
            let fields = [
                ("job", json!(&*batch.job)),
                ("step", json!(batch.step)),
                (
                    "tasks",
                    json!(batch.attempts.iter().map(|attempt| attempt.index).collect::<Vec<_>>()),
                ),
                ("run", json!(batch.attempts.first().map(|attempt| attempt.run))),
                ("agent", json!(view.as_ref().map(|view| &*view.name))),
                ("view_age_ms", json!(view.as_ref().map(|view| view.report_age_ms))),
                ("free_milli_cores", json!(view.as_ref().map(|view| view.free.milli_cores))),
                ("speed", json!(view.as_ref().map(|view| (view.speed * 100.0).round() / 100.0))),
            ];
            self.events.line(Level::Routine, "placed", &fields);
        }
        let mut agents = self.agents.borrow_mut();
        let Some(connection) = agents.get(&agent) else { return };
        if connection.outbox.try_send(message).is_err() {
            agents.swap_remove(&agent);
            drop(agents);
            self.agent_line("agent_lost", agent, &[("cause", json!("outbox full"))]);
        }
    }
}

impl ConfigHolder for EntryState {
    fn version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.routing.version)
    }

    fn raw(&self) -> Option<Vec<u8>> {
        self.config.borrow().as_ref().map(|config| config.raw.clone())
    }

    fn adopt(&self, raw: &[u8]) {
        self.adopt_config(raw, "peer");
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.known.connected();
        entries.push(self.links);
        entries
    }

    fn peer_connected(&self, addr: SocketAddr) {
        let fields = [("peer", json!(addr.to_string())), ("config", json!(self.version()))];
        self.events.line(Level::Notable, "peer_connected", &fields);
    }

    fn peer_lost(&self, addr: SocketAddr, cause: Option<&StepError>) {
        let cause = cause.map_or_else(|| "silent".to_owned(), ToString::to_string);
        let fields = [("peer", json!(addr.to_string())), ("cause", json!(cause))];
        self.events.line(Level::Notable, "peer_lost", &fields);
    }

    fn learn(&self, entries: &[SocketAddr]) {
        entries.iter().filter(|addr| **addr != self.links).for_each(|addr| self.known.add(*addr));
    }
}
