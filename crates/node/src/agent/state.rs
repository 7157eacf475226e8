//! State of an agent that its tasks share, and the decision lines about changes to it.

mod executor_results;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use direct::{
    AgentHello, AttemptBatch, AttemptOutcome, ClaimEnd, EntryHello, FencingToken, ListPosition,
    Report, SessionKey, SettledBy, StopCause, Supervisor, SupervisorEffect, Timing, ToAgent,
    Upstream,
};
use indexmap::IndexMap;
use metrics::counter;
use platform::{ExecutorClient, encode_task_name};
use serde_json::json;
use tokio::{
    sync::{Notify, Semaphore},
    task::spawn_local,
};
use types::StepError;

use crate::{
    DirectAgentSettings, ProcessSettings,
    agent::executor_calls,
    clock::{self, SuspensionDetector},
    events::{self, Events, Level},
    known_entries::KnownEntries,
    loop_delay::LoopDelay,
    task_names::{names, task_fields},
};

/// Most concurrent calls to the upstream, not counting stops and the poll that waits for runs to
/// end. Together with [`MAX_CONCURRENT_STOPS`] it is well below the number of connections that an
/// upstream accepts.
const MAX_CONCURRENT_CALLS: usize = 12;
/// Most concurrent stops; they are not delayed by unanswered starts.
const MAX_CONCURRENT_STOPS: usize = 24;

pub(crate) struct AgentState {
    pub(crate) timing: Timing,
    pub(crate) known_entries: Rc<KnownEntries>,
    pub(crate) events: Rc<Events>,
    pub(crate) loop_delay: LoopDelay,
    pub(crate) executor: ExecutorClient,
    /// Permits for calls to the upstream other than stops.
    pub(crate) calls: Semaphore,
    /// Permits for stops.
    pub(crate) stops: Semaphore,
    name: Arc<str>,
    grace_ms: Cell<u64>,
    /// Start of the process, Unix milliseconds.
    incarnation: u64,
    supervisor: RefCell<Supervisor>,
    /// Wakes the task that sends reports to an entry.
    report_wakers: RefCell<IndexMap<SessionKey, Rc<Notify>>>,
    /// Fencing token of calls to the upstream.
    token: Cell<FencingToken>,
    /// The upstream's clock minus this process's clock, milliseconds; `None` before the first
    /// reply.
    clock_offset_ms: Cell<Option<i64>>,
    suspensions: SuspensionDetector,
    suspension_count: Cell<u64>,
    /// Whether the process has resumed from a suspension that the supervisor does not know of.
    is_resumed: Cell<bool>,
    /// Whether the runs of an earlier agent have ended, so that entries may be dialled.
    is_open: Cell<bool>,
    /// Incarnation of the upstream by its last list.
    listed_born: Cell<Option<u64>>,
    /// Position in the upstream's list of ended runs.
    pub(crate) list_position: Cell<ListPosition>,
    /// What the lines name of the time before the agent opens.
    opening: Opening,
}

/// What an agent has seen of its executor before it opens.
#[derive(Debug, Default)]
struct Opening {
    /// Arrival of the first list from which earlier agents are fenced, milliseconds.
    first_list_ms: Cell<Option<u64>>,
    /// When the last list was requested, milliseconds.
    list_sent_ms: Cell<Option<u64>>,
    /// Runs that it did not start and has stopped.
    found: Cell<u64>,
}

impl AgentState {
    pub(crate) fn new(settings: &DirectAgentSettings) -> Result<Rc<Self>, StepError> {
        let process = &settings.process;
        let known_entries = Rc::new(KnownEntries::from_seeds(process, None));
        let now_ms = clock::now_ms();
        let incarnation = clock::unix_ms();
        let timeout = Duration::from_millis(process.timing.call_ms);
        let events = Events::start(&process.name, process.log_decisions);
        Ok(Rc::new(Self {
            timing: process.timing,
            known_entries,
            loop_delay: LoopDelay::new(Rc::clone(&events)),
            events,
            executor: ExecutorClient::new(settings.upstream, timeout)?,
            calls: Semaphore::new(MAX_CONCURRENT_CALLS),
            stops: Semaphore::new(MAX_CONCURRENT_STOPS),
            name: Arc::clone(&process.name),
            grace_ms: Cell::new(process.grace_ms),
            incarnation,
            supervisor: RefCell::new(Supervisor::new(process.timing, now_ms)),
            report_wakers: RefCell::default(),
            token: Cell::new(FencingToken::new(incarnation)),
            clock_offset_ms: Cell::new(None),
            suspensions: SuspensionDetector::new(process.timing.suspension_ms),
            suspension_count: Cell::new(0),
            is_resumed: Cell::new(false),
            is_open: Cell::new(false),
            listed_born: Cell::new(None),
            list_position: Cell::default(),
            opening: Opening::default(),
        }))
    }

    /// Returns the time. Every event takes its time from here, so a suspension is detected before
    /// the first event after it is handled.
    fn now_ms(&self) -> u64 {
        let (now_ms, suspended_ms) = self.suspensions.check();
        if let Some(gap_ms) = suspended_ms {
            self.events.emit(Level::Notable, "suspended", &[("gap_ms", json!(gap_ms))]);
            self.suspension_count.set(self.suspension_count.get() + 1);
            self.is_resumed.set(true);
        }
        now_ms
    }

    /// Tells the supervisor of a suspension that has ended since the last call.
    fn resume(&self, now_ms: u64) -> Vec<SupervisorEffect> {
        if !self.is_resumed.take() {
            return Vec::new();
        }
        self.supervisor.borrow_mut().on_resumed(now_ms)
    }

    /// Returns the longest time from a stop signal to the end of the process, milliseconds.
    pub(crate) fn grace_ms(&self) -> u64 {
        self.grace_ms.get()
    }

    /// Applies the settings that may change while the process runs.
    pub(crate) fn apply_settings(&self, process: &ProcessSettings) {
        self.known_entries.add_seeds(process, None);
        self.grace_ms.set(process.grace_ms);
    }

    /// Returns the number of suspensions of the process so far.
    pub(crate) fn suspension_count(&self) -> u64 {
        self.now_ms();
        self.suspension_count.get()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.supervisor.borrow().is_idle()
    }

    /// Returns whether claims are answered, which needs some time after the start.
    pub(crate) fn answers_claims(&self) -> bool {
        self.supervisor.borrow().answers_claims()
    }

    /// Returns whether the runs of an earlier agent have ended, so that entries may be dialled.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Returns the time until a poll can show that the agent can open; `None` if polls are needed for
    /// other reasons.
    pub(crate) fn opening_pause(&self) -> Option<Duration> {
        if self.is_open() || self.has_pending_stop() {
            return None;
        }
        let list_ms = self.supervisor.borrow().opening_list_ms()?;
        Some(Duration::from_millis(list_ms.saturating_sub(clock::now_ms())))
    }

    pub(crate) fn has_pending_stop(&self) -> bool {
        self.supervisor.borrow().has_pending_stop()
    }

    /// Returns whether a list is needed at once that shows which runs a replaced upstream has.
    pub(crate) fn awaits_fencing(&self) -> bool {
        self.supervisor.borrow().awaits_fencing()
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn token(&self) -> u64 {
        self.token.get().value()
    }

    pub(crate) fn on_heartbeat(self: &Rc<Self>, upstream: Upstream, seq: i64) {
        let previous = self.supervisor.borrow().upstream().cloned();
        // How long an upstream is still cold differs between heartbeats.
        let is_same = |known: Upstream| Upstream { cold_ms: upstream.cold_ms, ..known } == upstream;
        if !previous.is_some_and(is_same) {
            let fields = [
                ("upstream", json!(&*upstream.id)),
                ("born", json!(upstream.incarnation)),
                ("state", json!(format!("{:?}", upstream.state))),
                ("seq", json!(seq)),
            ];
            self.events.emit(Level::Notable, "upstream", &fields);
        }
        if !self.supervisor.borrow().is_answering(Some(upstream.incarnation)) {
            // An acknowledgement of the earlier incarnation's ends would lose those of this one.
            self.forget_list_position();
        }
        let now_ms = self.now_ms();
        let effects = self.supervisor.borrow_mut().on_heartbeat(upstream, seq, now_ms);
        self.apply(effects);
    }

    /// Returns the id of the upstream; `None` before the first heartbeat of its present incarnation.
    pub(crate) fn upstream_id(&self) -> Option<Arc<str>> {
        self.supervisor.borrow().upstream().map(|upstream| Arc::clone(&upstream.id))
    }

    pub(crate) fn on_upstream_leaving(self: &Rc<Self>, id: &str) {
        self.events.emit(Level::Notable, "upstream_leaves", &[("upstream", json!(id))]);
        let is_known =
            self.supervisor.borrow().upstream().is_some_and(|upstream| &*upstream.id == id);
        if is_known {
            let effects = self.supervisor.borrow_mut().on_upstream_leaving();
            self.apply(effects);
        }
    }

    /// Stops accepting attempts; those that run continue.
    pub(crate) fn begin_drain(self: &Rc<Self>) {
        let effects = self.supervisor.borrow_mut().begin_drain();
        self.apply(effects);
    }

    pub(crate) fn tick(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let mut effects = self.resume(now_ms);
        self.note_unconnected();
        effects.extend(self.supervisor.borrow_mut().tick(now_ms));
        self.apply(effects);
        self.events.flush();
    }

    /// Tells the supervisor whether some entry has not connected since the start of this process.
    pub(crate) fn note_unconnected(self: &Rc<Self>) {
        let has_unconnected = self.known_entries.has_unconnected();
        let effects = self.supervisor.borrow_mut().set_has_unconnected(has_unconnected);
        self.apply(effects);
    }

    pub(crate) fn hello(&self) -> AgentHello {
        AgentHello {
            agent: Arc::clone(&self.name),
            incarnation: self.incarnation,
            entries: self.known_entries.connected(),
        }
    }

    /// Starts or resumes the session of an entry that replies to the handshake sent at `hello_ms`.
    /// Returns its key, and the waker for its reports.
    pub(crate) fn on_entry_connected(
        self: &Rc<Self>,
        hello: &EntryHello,
        hello_ms: u64,
    ) -> (SessionKey, Rc<Notify>) {
        let now_ms = self.now_ms();
        let evacuation = self.supervisor.borrow_mut().merge_evacuations(&hello.evacuations);
        let (key, effects) = self.supervisor.borrow_mut().on_entry_hello(
            &hello.entry,
            hello.incarnation,
            &hello.attempts,
            hello_ms,
            now_ms,
        );
        let wake = Rc::new(Notify::new());
        self.report_wakers.borrow_mut().insert(key, Rc::clone(&wake));
        let mut fields =
            vec![("entry", json!(&*hello.entry)), ("incarnation", json!(hello.incarnation))];
        fields.extend(events::unsettled_fields(&hello.attempts));
        self.events.emit(Level::Notable, "entry_connected", &fields);
        self.apply(evacuation);
        self.apply(effects);
        self.note_unconnected();
        (key, wake)
    }

    /// Handles a message from an entry that had read `reports_read` reports on the connection.
    /// Returns whether it was recent enough, if it was a start.
    pub(crate) fn on_entry_message(
        self: &Rc<Self>,
        key: SessionKey,
        reports_read: u64,
        message: ToAgent,
    ) -> bool {
        let now_ms = self.now_ms();
        let resumed = self.resume(now_ms);
        let mut supervisor = self.supervisor.borrow_mut();
        supervisor.on_entry_message(key, reports_read, now_ms);
        let mut is_recent = true;
        let effects = match message {
            ToAgent::Start(batch) => {
                is_recent = supervisor.may_start_for(key, now_ms);
                if !is_recent {
                    let age_ms = supervisor.session_age_ms(key, now_ms);
                    self.emit_outdated_start(&batch, age_ms);
                }
                supervisor.on_attempts(key, &batch, now_ms)
            }
            ToAgent::Stop(ids) => supervisor.on_stop(key, &ids),
            ToAgent::SetActive(is_active) => supervisor.set_active(key, is_active),
            ToAgent::SetReportPeriod(period_ms) => {
                supervisor.set_report_period(key, period_ms);
                Vec::new()
            }
            ToAgent::Claim(claim) => supervisor.on_claim(key, &claim, now_ms),
            ToAgent::EndClaim(id, end) => supervisor.on_claim_end(key, id, end, now_ms),
            ToAgent::Heartbeat(entries) => {
                self.known_entries.add_all(&entries);
                Vec::new()
            }
            ToAgent::Evacuations(value) => supervisor.merge_evacuations(&value),
            ToAgent::Hello(_) => Vec::new(),
        };
        drop(supervisor);
        self.apply(resumed);
        self.apply(effects);
        is_recent
    }

    /// Reports a start that was held up for too long to be carried out.
    fn emit_outdated_start(&self, batch: &AttemptBatch, age_ms: Option<u64>) {
        counter!("agent_outdated_starts").increment(batch.attempts.len() as u64);
        let fields = [
            ("job", json!(&*batch.job)),
            ("tasks", names(batch.attempts.iter().map(|attempt| batch.task(attempt)))),
            ("orders", json!(batch.attempts.len())),
            ("age_ms", json!(age_ms)),
        ];
        self.events.emit(Level::Notable, "outdated_start", &fields);
    }

    /// Handles the end of the connection that `wake` belongs to, unless the session has a newer
    /// one. There is no `cause` if the connection timed out.
    pub(crate) fn on_entry_disconnected(
        &self,
        key: SessionKey,
        wake: &Rc<Notify>,
        cause: Option<&StepError>,
    ) {
        let mut wakers = self.report_wakers.borrow_mut();
        // A newer connection of the same session has another waker.
        if wakers.get(&key).is_none_or(|current| !Rc::ptr_eq(current, wake)) {
            return;
        }
        wakers.swap_remove(&key);
        drop(wakers);
        let cause = cause.map_or_else(|| "silent".to_owned(), ToString::to_string);
        let fields = [("entry", json!(self.entry_name(key))), ("cause", json!(cause))];
        self.events.emit(Level::Notable, "entry_lost", &fields);
        self.supervisor.borrow_mut().on_disconnected(key);
    }

    /// Handles the end of an entry's process, which a refused connection has shown.
    pub(crate) fn on_entry_gone(self: &Rc<Self>, key: SessionKey) {
        let fields = [("entry", json!(self.entry_name(key)))];
        self.events.emit(Level::Notable, "entry_gone", &fields);
        let effects = self.supervisor.borrow_mut().on_entry_gone(key);
        self.apply(effects);
    }

    fn entry_name(&self, key: SessionKey) -> Option<String> {
        self.supervisor.borrow().session_entry(key).map(ToString::to_string)
    }

    /// Returns the period of a session's heartbeats.
    pub(crate) fn heartbeat(&self, key: SessionKey) -> Duration {
        Duration::from_millis(self.supervisor.borrow().heartbeat_ms(key))
    }

    /// Returns the next report for a session, if there is one to send. `sent_upstream` is the
    /// upstream as it was last sent on the connection.
    pub(crate) fn next_report(
        &self,
        key: SessionKey,
        sent_upstream: &mut Option<Upstream>,
    ) -> Option<Report> {
        let now_ms = self.now_ms();
        let mut supervisor = self.supervisor.borrow_mut();
        let has_changed = supervisor.upstream() != sent_upstream.as_ref();
        let report = supervisor.report(key, has_changed)?;
        supervisor.record_report_sent(key, now_ms);
        if has_changed {
            *sent_upstream = supervisor.upstream().cloned();
        }
        Some(report)
    }

    fn apply(self: &Rc<Self>, effects: Vec<SupervisorEffect>) {
        for effect in effects {
            match effect {
                SupervisorEffect::Start(start) => {
                    spawn_local(executor_calls::start(Rc::clone(self), start));
                }
                SupervisorEffect::Stop(task, run, cause) => {
                    if cause == StopCause::Found {
                        self.opening.found.set(self.opening.found.get() + 1);
                        self.emit_for_run("found_run", &task, run, &[]);
                    }
                    spawn_local(executor_calls::stop(Rc::clone(self), task, run, cause));
                }
                SupervisorEffect::RaiseToken => self.raise_token(),
                SupervisorEffect::PollRuns => {
                    spawn_local(executor_calls::poll_runs_once(Rc::clone(self)));
                }
                SupervisorEffect::Report(key) => {
                    if let Some(wake) = self.report_wakers.borrow().get(&key) {
                        wake.notify_one();
                    }
                }
                SupervisorEffect::Open => {
                    self.is_open.set(true);
                    self.emit_open();
                }
                SupervisorEffect::ClaimContested { job, holder, claimant } => {
                    counter!("agent_claims_contested").increment(1);
                    let fields = [
                        ("job", json!(&*job.id)),
                        ("holder", json!(self.entry_name(holder))),
                        ("claimant", json!(self.entry_name(claimant))),
                    ];
                    self.events.emit(Level::Notable, "claim_contested", &fields);
                }
                SupervisorEffect::ClaimEnded { job, holder, end } => {
                    let fields = [
                        ("job", json!(&*job.id)),
                        ("holder", json!(self.entry_name(holder))),
                        ("end", json!(end.map_or("silent", ClaimEnd::name))),
                    ];
                    self.events.emit(Level::Notable, "claim_ended", &fields);
                }
                SupervisorEffect::EvacuationChanged(change) => {
                    let event = if change.is_evacuated { "evacuated" } else { "restored" };
                    let fields = [("zone", json!(&*change.zone)), ("offset", json!(change.offset))];
                    self.events.emit(Level::Notable, event, &fields);
                }
                SupervisorEffect::Warming { remaining_ms } => {
                    let fields = [("remaining_ms", json!(remaining_ms))];
                    self.events.emit(Level::Notable, "warming", &fields);
                }
                SupervisorEffect::Warm => self.events.emit(Level::Notable, "warm", &[]),
                SupervisorEffect::Crashed(crash) => {
                    counter!("agent_crashes").increment(1);
                    let suspects = crash
                        .suspects
                        .iter()
                        .map(|suspect| (encode_task_name(&suspect.task), &*suspect.kind));
                    let fields = [
                        ("born", json!(crash.incarnation)),
                        ("suspects", json!(suspects.collect::<Vec<_>>())),
                    ];
                    self.events.emit(Level::Notable, "upstream_crashed", &fields);
                }
                SupervisorEffect::Settled { task, attempt, outcome, by } => {
                    counter!("agent_orders", "outcome" => outcome.name()).increment(1);
                    if by == SettledBy::Evacuation {
                        counter!("agent_evacuated_refusals").increment(1);
                    }
                    let level = match outcome {
                        AttemptOutcome::Done { .. } => Level::Routine,
                        _ => Level::Notable,
                    };
                    let mut fields = task_fields(&task).to_vec();
                    fields.push(("order", json!(attempt.map(|(_, id)| id.0))));
                    fields.push(("outcome", json!(outcome.name())));
                    // Success is always listed, and its line is written for each task.
                    if level == Level::Notable {
                        let entry = attempt.and_then(|(key, _)| self.entry_name(key));
                        fields.push(("entry", json!(entry)));
                        fields.push(("by", json!(by.name())));
                        fields.extend(self.replacement_field(by));
                    }
                    self.events.emit(level, "settled", &fields);
                }
            }
        }
    }
}
