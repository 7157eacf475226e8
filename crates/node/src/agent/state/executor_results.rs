//! Handling of the results of calls to the upstream on this machine.

use std::{cell::Cell, rc::Rc, time::Duration};

use direct::{RunList, SettledBy, StartResult, StopCause, TaskId};
use metrics::counter;
use platform::{CallError, CallFailure, encode_task_name};
use serde_json::{Value, json};

use crate::{
    agent::state::AgentState,
    clock,
    events::Level,
    task_names::{names, task_fields},
};

/// Number of runs that the line about an unresponsive upstream lists.
const MAX_LISTED_RUNS: usize = 6;

impl AgentState {
    /// Raises the fencing token after the upstream has refused it as outdated.
    pub(crate) fn on_fenced(&self, refused: u64) {
        let mut token = self.token.get();
        if token.value() != refused {
            return;
        }
        token.raise();
        self.token.set(token);
        self.supervisor.borrow_mut().on_fenced();
        self.emit_token("refused");
    }

    /// Raises the fencing token because another incarnation of the upstream answers.
    pub(super) fn raise_token(&self) {
        let mut token = self.token.get();
        token.on_replaced();
        self.token.set(token);
        self.emit_token("upstream_replaced");
    }

    fn emit_token(&self, cause: &str) {
        let fields = [("token", json!(self.token())), ("cause", json!(cause))];
        self.events.emit(Level::Notable, "fencing_token", &fields);
    }

    /// Records that the upstream has accepted a call with this fencing token. Returns whether this
    /// shows that it refuses the orders of earlier agents.
    pub(crate) fn on_token_accepted(&self, accepted: u64) -> bool {
        let mut token = self.token.get();
        let is_fencing = token.on_accepted(accepted);
        self.token.set(token);
        is_fencing
    }

    /// Records the upstream's clock from a reply that arrived at `received_ms`.
    pub(crate) fn record_upstream_clock(&self, clock_ms: Option<u64>, received_ms: u64) {
        if let Some(clock_ms) = clock_ms.and_then(|ms| i64::try_from(ms).ok()) {
            let received_ms = i64::try_from(received_ms).unwrap_or(i64::MAX);
            self.clock_offset_ms.set(Some(clock_ms - received_ms));
        }
    }

    /// Returns the end, on the upstream's clock, of a lease that is granted now; `None` while no
    /// lease is granted.
    pub(crate) fn next_lease_end(&self, now_ms: u64) -> Option<u64> {
        let offset = self.clock_offset_ms.get()?;
        let mut supervisor = self.supervisor.borrow_mut();
        let end_ms = supervisor.lease_end_ms(now_ms)?;
        supervisor.record_lease_sent(now_ms);
        let end_ms = i64::try_from(end_ms).ok()?.checked_add(offset)?;
        Some(u64::try_from(end_ms).unwrap_or(0))
    }

    /// Records the end of a call that was sent at `sent_ms` and may have granted a lease.
    pub(crate) fn record_lease_call_end<T>(&self, sent_ms: u64, result: &Result<T, CallError>) {
        let is_refused = matches!(result, Err(e) if e.failure == CallFailure::Refused);
        self.supervisor.borrow_mut().record_lease_call_end(sent_ms, !is_refused);
    }

    /// Returns whether the upstream responds.
    pub(crate) fn is_responsive(&self) -> bool {
        self.supervisor.borrow().is_responsive()
    }

    pub(crate) fn on_run_list(self: &Rc<Self>, result: &RunList) {
        self.now_ms();
        let opening = &self.opening;
        if result.is_fencing {
            opening.first_list_ms.set(opening.first_list_ms.get().or(Some(result.received_ms)));
        }
        opening.list_sent_ms.set(Some(result.sent_ms));
        self.listed_born.set(result.incarnation.or(self.listed_born.get()));
        let was_answering = self.supervisor.borrow().is_responsive();
        let effects = self.supervisor.borrow_mut().on_run_list(result);
        if !was_answering && self.supervisor.borrow().is_responsive() {
            let fields =
                [("running", json!(result.running.len())), ("ended", json!(result.ended.len()))];
            self.events.emit(Level::Notable, "upstream_back", &fields);
        }
        self.apply(effects);
    }

    /// Writes the line about the opening of the agent, with what it opened on.
    pub(super) fn emit_open(&self) {
        let now_ms = clock::now_ms();
        let age_ms = |at_ms: &Cell<Option<u64>>| at_ms.get().map(|ms| now_ms.saturating_sub(ms));
        let fields = [
            ("token", json!(self.token())),
            ("answered_ms", json!(age_ms(&self.opening.first_list_ms))),
            ("list_age_ms", json!(age_ms(&self.opening.list_sent_ms))),
            ("found", json!(self.opening.found.get())),
        ];
        self.events.emit(Level::Notable, "open", &fields);
        self.events.flush_early();
    }

    /// Writes the line about the end of the process, with the runs that it leaves to the executor and
    /// to its successor.
    pub(crate) fn emit_stop(&self) {
        let supervisor = self.supervisor.borrow();
        let runs = supervisor.runs_by_age(clock::now_ms());
        let fields = [
            ("is_idle", json!(runs.is_empty())),
            ("is_open", json!(self.is_open())),
            ("tasks", names(runs.into_iter().map(|(task, _)| task))),
            ("unanswered_starts", names(supervisor.starting())),
            ("stopping", names(supervisor.stopping())),
        ];
        self.events.emit(Level::Notable, "stop", &fields);
    }

    /// Returns the field that tells which life of the executor has replaced that of a run, if this
    /// has settled the run.
    pub(super) fn replacement_field(&self, by: SettledBy) -> Option<(&'static str, Value)> {
        (by == SettledBy::UpstreamReplaced).then(|| ("born", json!(self.listed_born.get())))
    }

    /// Records up to which sequence number ended runs were listed, unless the list was ignored because
    /// another incarnation answers now.
    pub(crate) fn record_last_ended(&self, incarnation: Option<u64>, last_ended_seq: Option<u64>) {
        if !self.supervisor.borrow().is_answering(incarnation) {
            return;
        }
        let mut position = self.list_position.get();
        position.on_reply(incarnation, last_ended_seq);
        self.list_position.set(position);
    }

    /// Lets the next call acknowledge no ends: the upstream lists them again.
    pub(super) fn forget_list_position(&self) {
        let mut position = self.list_position.get();
        position.on_failure();
        self.list_position.set(position);
    }

    /// Handles a call that failed or was not answered in time.
    pub(crate) fn on_call_error(self: &Rc<Self>, error: &CallError) {
        let now_ms = self.now_ms();
        self.forget_list_position();
        let was_answering = self.supervisor.borrow().is_responsive();
        let runs = self.supervisor.borrow().runs_by_age(now_ms);
        let effects = match error.failure {
            CallFailure::Refused => self.supervisor.borrow_mut().on_call_refused(now_ms),
            CallFailure::Broken | CallFailure::Unanswered => {
                self.supervisor.borrow_mut().on_call_timeout(now_ms)
            }
        };
        if was_answering && !self.supervisor.borrow().is_responsive() {
            let youngest = runs.iter().take(MAX_LISTED_RUNS);
            let youngest = youngest.map(|(task, age_ms)| (encode_task_name(task), age_ms));
            let fields = [
                ("cause", json!(error.to_string())),
                ("is_refused", json!(error.failure == CallFailure::Refused)),
                ("runs", json!(runs.len())),
                ("youngest", json!(youngest.collect::<Vec<_>>())),
            ];
            self.events.emit(Level::Notable, "upstream_mute", &fields);
        }
        self.apply(effects);
    }

    /// Returns whether a start may still be sent; stops the runs of sessions that have expired.
    pub(crate) fn may_send_start(self: &Rc<Self>, task: &TaskId, run: u32) -> bool {
        let now_ms = self.now_ms();
        let may_send = self.supervisor.borrow().may_send_start(task, run, now_ms);
        if !may_send {
            self.tick();
        }
        may_send
    }

    /// Returns the time after which the answer to a call that does not wait is overdue.
    pub(crate) fn call_overdue(&self) -> Duration {
        Duration::from_millis(self.supervisor.borrow().start_overdue_ms())
    }

    pub(crate) fn record_start_time(&self, took_ms: u64) {
        self.supervisor.borrow_mut().record_start_time(took_ms);
    }

    /// Sends a start again whose answer is overdue.
    pub(crate) fn on_start_overdue(self: &Rc<Self>, task: &TaskId, run: u32) {
        let effects = self.supervisor.borrow_mut().on_start_overdue(task, run);
        let mut fields = task_fields(task).to_vec();
        fields.push(("run", json!(run)));
        fields.push(("is_repeated", json!(!effects.is_empty())));
        self.events.emit(Level::Notable, "start_overdue", &fields);
        self.apply(effects);
    }

    pub(crate) fn on_start_result(self: &Rc<Self>, task: &TaskId, run: u32, result: StartResult) {
        let now_ms = self.now_ms();
        let (event, level) = match result {
            // A further start of a task is rare, and what an overlap is told by.
            StartResult::Started if run > 1 => ("started", Level::Notable),
            StartResult::Started => ("started", Level::Routine),
            _ => ("not_started", Level::Notable),
        };
        let mut fields = task_fields(task).to_vec();
        fields.push(("run", json!(run)));
        fields.push(("token", json!(self.token())));
        fields.push(("result", json!(format!("{result:?}"))));
        self.events.emit(level, event, &fields);
        let effects = self.supervisor.borrow_mut().on_start_result(task, run, result, now_ms);
        self.apply(effects);
    }

    /// Records that a stop is being sent. Repeated calls have no line of their own: the upstream may
    /// leave hundreds a second unanswered.
    pub(crate) fn on_stop_sent(&self, task: &TaskId, run: u32, cause: StopCause) {
        if cause != StopCause::Repeated {
            let fields = [("token", json!(self.token())), ("cause", json!(cause.name()))];
            self.emit_for_run("stop_sent", task, run, &fields);
        }
    }

    /// Records the answer to a call of a stop, or the lack of one.
    pub(crate) fn on_stop_answer(
        &self,
        task: &TaskId,
        run: u32,
        cause: StopCause,
        is_acknowledged: bool,
        took_ms: u64,
    ) {
        let is_repeated = cause == StopCause::Repeated;
        if is_acknowledged || !is_repeated {
            let fields = [
                ("is_acknowledged", json!(is_acknowledged)),
                ("took_ms", json!(took_ms)),
                ("is_repeated", json!(is_repeated)),
            ];
            self.emit_for_run("stop_answered", task, run, &fields);
        }
    }

    /// Writes a line about a run.
    pub(super) fn emit_for_run(
        &self,
        event: &'static str,
        task: &TaskId,
        run: u32,
        fields: &[(&str, Value)],
    ) {
        let mut all = task_fields(task).to_vec();
        all.push(("run", json!(run)));
        all.extend(fields.iter().cloned());
        self.events.emit(Level::Notable, event, &all);
        // An agent that is killed before it opens must not leave stops without a trace.
        if !self.is_open() {
            self.events.flush_early();
        }
    }

    /// Sends a stop again whose answer is overdue.
    pub(crate) fn on_stop_overdue(self: &Rc<Self>, task: &TaskId, run: u32) {
        let effects = self.supervisor.borrow_mut().on_stop_overdue(task, run);
        counter!("agent_stops_repeated").increment(effects.len() as u64);
        self.apply(effects);
    }

    pub(crate) fn on_stop_result(self: &Rc<Self>, task: &TaskId, run: u32, is_acknowledged: bool) {
        let now_ms = self.now_ms();
        let effects =
            self.supervisor.borrow_mut().on_stop_result(task, run, is_acknowledged, now_ms);
        self.apply(effects);
    }
}
