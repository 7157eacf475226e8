//! State of an entry that its tasks share, and the decision lines about changes to it.

use std::{
    cell::{Cell, RefCell},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use direct::{
    Admission, AgentHello, AgentKey, DirectJob, Dispatcher, DispatcherEffect, EntryHello,
    EntryMessage, Evacuations, JobKey, JobName, JobOutcome, LossCause, PlacementAnswer,
    PlacementQuestion, PoolCapacity, RefusalReason, Report, Routing, Timing, ToAgent, choose_peers,
};
use indexmap::IndexMap;
use intake::{ConnectionLimits, Intake, IntakeEvent, LimitKind};
use metrics::{counter, gauge};
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant, sleep, timeout},
};
use types::StepError;

use crate::{
    DirectEntrySettings, ProcessSettings,
    clock::{self, SuspensionDetector},
    entry::{BUSY_TICK, IDLE_TICK, link_progress::LinkProgress},
    events::{self, Events, Level},
    known_entries::KnownEntries,
    loop_delay::LoopDelay,
    peer_links::PeerHandler,
    task_names::{job_fields, names, task_fields},
};

/// How long submissions are refused and nothing starts after a suspension, milliseconds. A request
/// that arrived during the suspension may be as old as the suspension was long, and the entry first
/// reads which callers have left.
const SUSPENDED_REFUSAL_MS: u64 = 200;
/// Gap between two readings of the clock that counts as a further suspension in this time, milliseconds:
/// longer than the pauses of a process that shares its processor, shorter than the refusal.
const RENEWED_SUSPENSION_MS: u64 = 150;
/// Duration of a round of placement after which the next one waits, and the wait as a multiple of that
/// duration. A round is this long when many jobs wait or the process gets little processor time.
const LONG_ROUND: Duration = Duration::from_micros(400);
const ROUND_PAUSE_FACTOR: u32 = 3;
/// Time after the start of the process during which requests wait for the first configuration,
/// milliseconds.
const FIRST_CONFIG_WAIT_MS: u64 = 400;
/// Most bytes of a body that is not used that are discarded, as a multiple of the largest body.
const MAX_DISCARDED_BODIES: usize = 2;

pub(crate) struct EntryState {
    pub(crate) timing: Timing,
    /// Start of the process, Unix milliseconds.
    pub(crate) incarnation: u64,
    /// Address under which agents and other entries connect.
    pub(crate) links: SocketAddr,
    /// Most tasks of a job.
    pub(crate) max_job_tasks: u64,
    pub(crate) known_entries: Rc<KnownEntries>,
    pub(crate) events: Rc<Events>,
    /// Requests and connections of callers.
    pub(crate) intake: Arc<Intake>,
    loop_delay: LoopDelay,
    name: Arc<str>,
    grace_ms: Cell<u64>,
    pub(super) dispatcher: RefCell<Dispatcher>,
    /// Requests that wait for the outcome of their job.
    pending_replies: RefCell<IndexMap<JobKey, oneshot::Sender<JobOutcome>>>,
    agents: RefCell<IndexMap<AgentKey, Connection>>,
    next_connection_id: Cell<u64>,
    config: RefCell<Option<Config>>,
    /// Wakes requests that wait for the first configuration.
    config_applied: Notify,
    /// Wakes the task that dispatches queued tasks after reports.
    dispatch_due: Notify,
    started: Instant,
    suspensions: SuspensionDetector,
    /// End of the refusal of submissions after a suspension.
    refuse_until_ms: Cell<u64>,
    /// Whether the process ends and accepts no further submission.
    is_ending: Cell<bool>,
}

/// The current connection of an agent.
struct Connection {
    id: u64,
    outbox: mpsc::Sender<EntryMessage>,
    progress: Rc<LinkProgress>,
}

/// The configuration in force, decoded and as in the store.
struct Config {
    routing: Rc<Routing>,
    raw: Vec<u8>,
}

/// Returns a number that differs between entries, by their names.
fn seed(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

impl EntryState {
    pub(crate) fn new(settings: &DirectEntrySettings) -> Rc<Self> {
        let process = &settings.process;
        let links = settings.advertised_links.unwrap_or(settings.links);
        let known_entries = Rc::new(KnownEntries::from_seeds(process, Some(links)));
        let events = Events::start(&process.name, process.log_decisions);
        let mut dispatcher =
            Dispatcher::new(process.timing, Arc::clone(&settings.zone), seed(&process.name));
        dispatcher.begin_assembly(clock::now_ms());
        if let Some(cores) = settings.processor_share {
            dispatcher.set_processor_share(cores);
        }
        dispatcher.set_look_ahead(settings.placement.look_ahead);
        Rc::new(Self {
            timing: process.timing,
            incarnation: clock::unix_ms(),
            links,
            max_job_tasks: settings.max_job_tasks,
            known_entries,
            intake: Intake::new("callers", settings.intake_limits(), clock::now_ms),
            loop_delay: LoopDelay::new(Rc::clone(&events)),
            events,
            name: Arc::clone(&process.name),
            grace_ms: Cell::new(process.grace_ms),
            dispatcher: RefCell::new(dispatcher),
            pending_replies: RefCell::default(),
            agents: RefCell::default(),
            next_connection_id: Cell::new(0),
            config: RefCell::default(),
            config_applied: Notify::new(),
            dispatch_due: Notify::new(),
            started: Instant::now(),
            suspensions: SuspensionDetector::new(process.timing.suspension_ms),
            refuse_until_ms: Cell::new(0),
            is_ending: Cell::new(false),
        })
    }

    pub(crate) fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// Returns the longest time from a stop signal to the end of the process, milliseconds.
    pub(crate) fn grace_ms(&self) -> u64 {
        self.grace_ms.get()
    }

    /// Applies the settings that may change while the process runs.
    pub(crate) fn apply_settings(&self, process: &ProcessSettings) {
        self.known_entries.add_seeds(process, Some(self.links));
        self.grace_ms.set(process.grace_ms);
    }

    /// Returns the time. Every event takes its time from here, so a suspension is detected before
    /// the first event after it is handled, and submissions are refused for a while.
    pub(super) fn now_ms(&self) -> u64 {
        let is_refusing = self.suspensions.last_check_ms() < self.refuse_until_ms.get();
        let min_gap_ms = if is_refusing {
            self.timing.suspension_ms.min(RENEWED_SUSPENSION_MS)
        } else {
            self.timing.suspension_ms
        };
        let (now_ms, suspended_ms) = self.suspensions.check_above(min_gap_ms);
        if self.is_ending.get() {
            return now_ms;
        }
        if let Some(gap_ms) = suspended_ms {
            self.events.emit(Level::Notable, "suspended", &[("gap_ms", json!(gap_ms))]);
            self.refuse_until_ms.set(now_ms + SUSPENDED_REFUSAL_MS);
            self.dispatcher.borrow_mut().set_admission(Admission::Closed(RefusalReason::Suspended));
        } else if now_ms >= self.refuse_until_ms.get() {
            self.dispatcher.borrow_mut().set_admission(Admission::Open);
        }
        now_ms
    }

    pub(crate) fn is_ready(&self) -> bool {
        let now_ms = self.now_ms();
        self.config.borrow().is_some() && self.dispatcher.borrow().is_ready(now_ms)
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.pending_replies.borrow().is_empty()
    }

    /// Returns the number of requests that wait for an outcome.
    pub(crate) fn unanswered(&self) -> usize {
        self.pending_replies.borrow().len()
    }

    /// Returns the free capacity of a pool, as this entry knows it.
    pub(crate) fn pool_capacity(&self, pool: &str) -> PoolCapacity {
        self.dispatcher.borrow().pool_capacity(pool, self.suspensions.last_check_ms())
    }

    /// Returns where a job would be placed now; changes nothing.
    pub(crate) fn explain_placement(&self, question: &PlacementQuestion) -> PlacementAnswer {
        let now_ms = self.suspensions.last_check_ms();
        self.dispatcher.borrow().explain_placement(question, now_ms)
    }

    pub(crate) fn routing(&self) -> Option<Rc<Routing>> {
        self.config.borrow().as_ref().map(|config| Rc::clone(&config.routing))
    }

    /// Returns the configuration in force. A process that has just started waits for its first one:
    /// it usually arrives within milliseconds, and callers wait already when the process starts.
    pub(crate) async fn first_routing(&self) -> Option<Rc<Routing>> {
        let wait = Duration::from_millis(FIRST_CONFIG_WAIT_MS);
        let remaining = wait.saturating_sub(self.started.elapsed());
        if self.routing().is_none() && !remaining.is_zero() {
            // Without a configuration after this time, the request is rejected.
            let _ = timeout(remaining, self.config_applied.notified()).await;
        }
        self.routing()
    }

    pub(crate) fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.routing().map(|routing| routing.limits).unwrap_or_default();
        ConnectionLimits {
            header_bytes: limits.header_bytes,
            idle_ms: limits.idle_ms,
            discarded_bytes: limits.body_bytes.saturating_mul(MAX_DISCARDED_BODIES),
        }
    }

    /// Applies a configuration unless the one in force is as new.
    pub(crate) fn apply_config(&self, raw: &[u8], source: &str) {
        let Some(routing) = platform::decode_config(raw) else {
            self.events.emit(Level::Notable, "config_unreadable", &[("source", json!(source))]);
            return;
        };
        if self.config_version() >= routing.version {
            return;
        }
        let fields = [
            ("version", json!(routing.version)),
            ("queues", json!(routing.len())),
            ("source", json!(source)),
        ];
        self.events.emit(Level::Notable, "config_in_force", &fields);
        #[allow(clippy::cast_precision_loss)]
        gauge!("entry_config_version").set(routing.version as f64);
        *self.config.borrow_mut() = Some(Config { routing: Rc::new(routing), raw: raw.to_vec() });
        self.config_applied.notify_waiters();
    }

    /// Submits a job; the receiver gets its outcome. Nothing of a held job starts before
    /// [`EntryState::release`].
    pub(crate) fn submit(
        &self,
        job: DirectJob,
        is_held: bool,
    ) -> (JobKey, oneshot::Receiver<JobOutcome>) {
        let now_ms = self.now_ms();
        let (tx, rx) = oneshot::channel();
        let (key, effects) = if is_held {
            self.dispatcher.borrow_mut().submit_held(job, now_ms)
        } else {
            self.dispatcher.borrow_mut().submit(job, now_ms)
        };
        self.pending_replies.borrow_mut().insert(key, tx);
        self.apply(effects);
        (key, rx)
    }

    /// Lets the tasks of a held job start.
    pub(crate) fn release(&self, key: JobKey) {
        if self.dispatcher.borrow_mut().end_hold(key) {
            self.dispatch_due.notify_one();
        }
    }

    /// Cancels a job at a caller's request; returns whether it was unanswered here.
    pub(crate) fn cancel_job(&self, name: &JobName) -> bool {
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().cancel_job(name, now_ms);
        let is_cancelled = effects.is_some();
        self.apply(effects.unwrap_or_default());
        is_cancelled
    }

    /// Withdraws a submission whose caller has closed the connection.
    pub(crate) fn cancel(&self, key: JobKey) {
        if self.pending_replies.borrow_mut().swap_remove(&key).is_none() {
            return;
        }
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().cancel(key, now_ms);
        self.apply(effects);
    }

    /// Answers all jobs and refuses further ones, because the process ends.
    pub(crate) fn answer_all(&self) {
        self.is_ending.set(true);
        let effects = self.dispatcher.borrow_mut().answer_all();
        self.apply(effects);
    }

    /// Must be called every [`BUSY_TICK`] while jobs are outstanding, else every [`IDLE_TICK`].
    pub(crate) fn tick(&self) {
        self.loop_delay.on_timer();
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().tick(now_ms);
        self.apply(effects);
        for event in self.intake.tick(self.connection_limits().idle_ms) {
            self.emit_intake(event);
        }
        let counts = self.dispatcher.borrow().look_ahead_counts();
        counter!("entry_reservations").absolute(counts.reservations);
        counter!("entry_backfilled_tasks").absolute(counts.backfilled_tasks);
        self.events.flush();
        self.loop_delay.set_timer(if self.is_busy() { BUSY_TICK } else { IDLE_TICK });
    }

    fn emit_intake(&self, event: IntakeEvent) {
        match event {
            IntakeEvent::Full(limit, usage) => {
                let limit = match limit {
                    LimitKind::RequestBytes => "request_bytes",
                    LimitKind::Connections => "connections",
                };
                let fields = [
                    ("limit", json!(limit)),
                    ("requests", json!(usage.requests)),
                    ("request_bytes", json!(usage.request_bytes)),
                    ("connections", json!(usage.connections)),
                ];
                self.events.emit(Level::Notable, "intake_full", &fields);
            }
            IntakeEvent::Free(counts) => {
                let fields = [
                    ("full_ms", json!(counts.last_ms - counts.since_ms)),
                    ("evicted_requests", json!(counts.evicted_requests)),
                    ("refused_requests", json!(counts.refused_requests)),
                    ("evicted_connections", json!(counts.evicted_connections)),
                    ("refused_connections", json!(counts.refused_connections)),
                ];
                self.events.emit(Level::Notable, "intake_free", &fields);
            }
        }
    }

    /// Starts a session on a new connection of an agent, with the handshake as the first message in
    /// the outbox. Returns the agent's key and the connection's id.
    pub(crate) fn on_agent_connected(
        &self,
        hello: &AgentHello,
        outbox: mpsc::Sender<EntryMessage>,
        progress: Rc<LinkProgress>,
    ) -> (AgentKey, u64) {
        let now_ms = self.now_ms();
        self.known_entries.add_all(&hello.entries);
        let id = self.next_connection_id.get();
        self.next_connection_id.set(id + 1);
        let (key, attempts, effects) = self.dispatcher.borrow_mut().on_agent_hello(hello, now_ms);
        let mut fields = vec![("incarnation", json!(hello.incarnation))];
        let replaced = self.dispatcher.borrow().replaced_incarnation(key);
        fields.extend(replaced.map(|incarnation| ("replaces", json!(incarnation))));
        fields.extend(events::unsettled_fields(&attempts));
        let reply = EntryHello {
            entry: self.name(),
            incarnation: self.incarnation,
            attempts,
            entries: self.connected_entries(),
            evacuations: self.evacuations(),
        };
        // The outbox is new, so it has capacity.
        let _ = outbox.try_send(progress.message(ToAgent::Hello(reply)));
        self.agents.borrow_mut().insert(key, Connection { id, outbox, progress });
        self.emit_for_agent("agent_connected", key, &fields);
        self.apply(effects);
        (key, id)
    }

    /// Handles a report; ignores it if the agent has a newer connection.
    pub(crate) fn on_agent_report(&self, key: AgentKey, connection_id: u64, report: Report) {
        if self.agents.borrow().get(&key).is_none_or(|current| current.id != connection_id) {
            return;
        }
        if let Some(upstream) = &report.upstream {
            let fields = [
                ("upstream", json!(&*upstream.id)),
                ("state", json!(format!("{:?}", upstream.state))),
                ("born", json!(upstream.incarnation)),
            ];
            self.emit_for_agent("upstream", key, &fields);
        }
        let now_ms = self.now_ms();
        let effects = self.dispatcher.borrow_mut().apply_report(key, report, now_ms);
        self.apply(effects);
        self.dispatch_due.notify_one();
    }

    /// Dispatches queued tasks after reports of agents and released submissions, for ever. Events that
    /// have arrived together are all applied before, so that many of them cost one round of placement.
    /// After a long round the next one waits, so that the rounds leave most of the processor time to
    /// the reading of requests and reports.
    pub(crate) async fn dispatch_when_due(self: Rc<Self>) {
        loop {
            self.dispatch_due.notified().await;
            let started = Instant::now();
            let now_ms = self.now_ms();
            let effects = self.dispatcher.borrow_mut().dispatch(now_ms);
            self.apply(effects);
            let took = started.elapsed();
            if took >= LONG_ROUND {
                sleep((took * ROUND_PAUSE_FACTOR).min(BUSY_TICK)).await;
            }
        }
    }

    /// Handles the end of a connection, unless the agent has a newer one. There is no `cause` if
    /// the connection timed out.
    pub(crate) fn on_agent_disconnected(
        &self,
        key: AgentKey,
        connection_id: u64,
        cause: Option<&StepError>,
    ) {
        let mut agents = self.agents.borrow_mut();
        if agents.get(&key).is_none_or(|current| current.id != connection_id) {
            return;
        }
        agents.swap_remove(&key);
        drop(agents);
        let cause = cause.map_or_else(|| "silent".to_owned(), ToString::to_string);
        self.emit_for_agent("agent_lost", key, &[("cause", json!(cause))]);
        self.dispatcher.borrow_mut().on_disconnected(key);
    }

    fn emit_for_agent(&self, event: &'static str, key: AgentKey, fields: &[(&str, Value)]) {
        let name = self.dispatcher.borrow().agent_name(key).map(ToString::to_string);
        let mut all = vec![("agent", json!(name))];
        all.extend(fields.iter().cloned());
        self.events.emit(Level::Notable, event, &all);
    }

    pub(super) fn apply(&self, effects: Vec<DispatcherEffect>) {
        let is_loss =
            |effect: &DispatcherEffect| matches!(effect, DispatcherEffect::PresumedLost { .. });
        let has_losses = effects.iter().any(is_loss);
        for effect in effects {
            match effect {
                DispatcherEffect::Send(agent, message) => self.send(agent, message),
                DispatcherEffect::Answer(key, outcome) => {
                    if let Some(reply) = self.pending_replies.borrow_mut().swap_remove(&key) {
                        // Fails when the caller has just closed the connection.
                        let _ = reply.send(outcome);
                    }
                }
                DispatcherEffect::CloseLink(agent) => self.close_link(agent, "silent"),
                DispatcherEffect::GivenUp { tasks, kind } => {
                    counter!("entry_jobs_given_up").increment(1);
                    let mut fields = job_fields(&tasks);
                    fields.push(("queue", json!(&*kind)));
                    self.events.emit(Level::Notable, "given_up", &fields);
                }
                DispatcherEffect::Contained { kind } => {
                    counter!("entry_kinds_contained").increment(1);
                    self.events.emit(Level::Notable, "contained", &[("queue", json!(&*kind))]);
                }
                DispatcherEffect::Withdrawn { job, agent, attempts, tasks, cause } => {
                    let orders: Vec<u64> = attempts.iter().map(|id| id.0).collect();
                    let is_connected = self.agents.borrow().contains_key(&agent);
                    let fields = [
                        ("job", json!(&*job)),
                        ("tasks", names(tasks)),
                        ("orders", json!(orders)),
                        ("cause", json!(cause.name())),
                        ("is_connected", json!(is_connected)),
                    ];
                    self.emit_for_agent("withdrawn", agent, &fields);
                }
                DispatcherEffect::PresumedLost { task, agent, attempt, cause } => {
                    counter!("entry_orders_presumed_lost", "cause" => cause.name()).increment(1);
                    let mut fields = task_fields(&task).to_vec();
                    fields.push(("order", json!(attempt.0)));
                    fields.push(("cause", json!(cause.name())));
                    if let LossCause::Silent { silent_ms } = cause {
                        fields.push(("silent_ms", json!(silent_ms)));
                    }
                    self.emit_for_agent("presumed_lost", agent, &fields);
                }
                DispatcherEffect::ClaimContested { tasks, agent, after_ms } => {
                    counter!("entry_claims_contested").increment(1);
                    let mut fields = job_fields(&tasks);
                    fields.push(("after_ms", json!(after_ms)));
                    self.emit_for_agent("claim_contested", agent, &fields);
                }
                DispatcherEffect::ClaimUnanswered { tasks, agent, waited_ms } => {
                    counter!("entry_claims_unanswered").increment(1);
                    let mut fields = job_fields(&tasks);
                    fields.push(("waited_ms", json!(waited_ms)));
                    self.emit_for_agent("claim_unanswered", agent, &fields);
                }
                DispatcherEffect::ClaimAsked { tasks, agent } => {
                    self.emit_for_agent("claim_asked", agent, &job_fields(&tasks));
                }
                DispatcherEffect::EjectionChanged { agent, is_ejected } => {
                    let fields = [("agent", json!(&*agent)), ("is_ejected", json!(is_ejected))];
                    self.events.emit(Level::Notable, "upstream_judged", &fields);
                }
            }
        }
        // What may start a task beside its earlier run must outlast an entry that is killed now.
        if has_losses {
            self.events.flush_early();
        }
    }

    /// Returns the addresses of the entries that this one connects to now.
    pub(crate) fn chosen_peers(&self) -> Vec<SocketAddr> {
        choose_peers(self.links, &self.known_entries.reachable(clock::now_ms()))
    }

    /// Queues a message to an agent. If that is not possible, the attempts in it are settled when
    /// the agent connects again.
    fn send(&self, agent: AgentKey, message: ToAgent) {
        if let ToAgent::Start(batch) = &message {
            let summary =
                self.dispatcher.borrow().agent_summary(agent, self.suspensions.last_check_ms());
            counter!("entry_orders").increment(batch.attempts.len() as u64);
            let fields = [
                ("job", json!(&*batch.job)),
                ("tasks", names(batch.attempts.iter().map(|attempt| batch.task(attempt)))),
                (
                    "orders",
                    json!(batch.attempts.iter().map(|attempt| attempt.id.0).collect::<Vec<_>>()),
                ),
                ("run", json!(batch.attempts.first().map(|attempt| attempt.run))),
                ("agent", json!(summary.as_ref().map(|summary| &*summary.name))),
                ("view_age_ms", json!(summary.as_ref().map(|summary| summary.report_age_ms))),
                (
                    "free_milli_cores",
                    json!(summary.as_ref().map(|summary| summary.free.milli_cores)),
                ),
                (
                    "speed",
                    json!(summary.as_ref().map(|summary| (summary.speed * 100.0).round() / 100.0)),
                ),
            ];
            let is_first = batch.attempts.iter().all(|attempt| attempt.run <= 1);
            let level = if is_first { Level::Routine } else { Level::Notable };
            self.events.emit(level, "placed", &fields);
        }
        let result = match self.agents.borrow().get(&agent) {
            Some(connection) => connection.outbox.try_send(connection.progress.message(message)),
            None => return,
        };
        if result.is_err() {
            self.close_link(agent, "outbox full");
        }
    }

    /// Closes the connection of an agent: its task ends when the outbox is dropped.
    fn close_link(&self, agent: AgentKey, cause: &str) {
        if self.agents.borrow_mut().swap_remove(&agent).is_some() {
            self.emit_for_agent("agent_lost", agent, &[("cause", json!(cause))]);
            self.dispatcher.borrow_mut().on_disconnected(agent);
        }
    }
}

impl PeerHandler for EntryState {
    fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.routing.version)
    }

    fn raw_config(&self) -> Option<Vec<u8>> {
        self.config.borrow().as_ref().map(|config| config.raw.clone())
    }

    fn on_peer_config(&self, raw: &[u8]) {
        self.apply_config(raw, "peer");
    }

    fn evacuations(&self) -> Evacuations {
        self.evacuations()
    }

    fn on_peer_evacuations(&self, evacuations: &Evacuations) {
        self.merge_evacuations(evacuations, "peer");
    }

    fn connected_entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.known_entries.connected();
        entries.push(self.links);
        entries
    }

    fn is_peer_wanted(&self, addr: SocketAddr) -> bool {
        self.chosen_peers().contains(&addr)
    }

    fn on_peer_connected(&self, addr: SocketAddr) {
        self.known_entries.set_connected(addr, true);
        let fields = [("peer", json!(addr.to_string())), ("config", json!(self.config_version()))];
        self.events.emit(Level::Notable, "peer_connected", &fields);
    }

    fn on_peer_disconnected(&self, addr: SocketAddr, cause: Option<&StepError>) {
        let cause = cause.map_or_else(|| "silent".to_owned(), ToString::to_string);
        let fields = [("peer", json!(addr.to_string())), ("cause", json!(cause))];
        self.events.emit(Level::Notable, "peer_lost", &fields);
    }

    fn add_entries(&self, entries: &[SocketAddr]) {
        entries
            .iter()
            .filter(|addr| **addr != self.links)
            .for_each(|addr| self.known_entries.add(*addr));
    }
}
