//! What the calls to the upstream on this machine have found.

use std::rc::Rc;

use direct::{RunList, StartResult, TaskId};
use serde_json::json;

use crate::{agent::state::AgentState, clock, events::Level};

impl AgentState {
    /// Takes a fencing token above any that an earlier agent had: the upstream's own clock only
    /// rises in its life.
    pub(crate) fn raise_token(&self) {
        let now_ms = i64::try_from(clock::now_ms()).unwrap_or(i64::MAX);
        let clock_ms = self.clock_offset_ms.get().map_or(0, |offset| now_ms + offset);
        let token = u64::try_from(clock_ms).unwrap_or(0).max(self.token.get()) + 1;
        self.token.set(token);
        self.events.line(Level::Notable, "fencing_token", &[("token", json!(token))]);
    }

    pub(crate) fn clock_seen(&self, clock_ms: Option<u64>, received_ms: u64) {
        if let Some(clock_ms) = clock_ms.and_then(|ms| i64::try_from(ms).ok()) {
            let received_ms = i64::try_from(received_ms).unwrap_or(i64::MAX);
            self.clock_offset_ms.set(Some(clock_ms - received_ms));
        }
    }

    /// Returns the end of a lease given now, by the upstream's clock; nothing while none is given.
    pub(crate) fn next_lease(&self, now_ms: u64) -> Option<u64> {
        let offset = self.clock_offset_ms.get()?;
        let mut supervisor = self.supervisor.borrow_mut();
        if !supervisor.grants_lease() {
            return None;
        }
        supervisor.record_lease_sent(now_ms);
        let now = i64::try_from(now_ms).ok()?.checked_add(offset)?;
        Some(u64::try_from(now).unwrap_or(0) + self.timing.lease_ms)
    }

    pub(crate) fn held(self: &Rc<Self>, result: &RunList) {
        self.now_ms();
        let was_answering = self.supervisor.borrow().grants_lease();
        let effects = self.supervisor.borrow_mut().on_run_list(result);
        if !was_answering && self.supervisor.borrow().grants_lease() {
            let fields =
                [("running", json!(result.running.len())), ("ended", json!(result.ended.len()))];
            self.events.line(Level::Notable, "upstream_back", &fields);
        }
        self.apply(effects);
    }

    /// Notes how far the ends are listed; another incarnation numbers them anew.
    pub(crate) fn ends_listed(&self, incarnation: Option<u64>, last_end: Option<u64>) {
        if self.upstream_incarnation.replace(incarnation) != incarnation {
            self.last_end.set(0);
        }
        self.last_end.set(self.last_end.get().max(last_end.unwrap_or(0)));
    }

    pub(crate) fn call_unanswered(self: &Rc<Self>, cause: &str) {
        let now_ms = self.now_ms();
        let was_answering = self.supervisor.borrow().grants_lease();
        let effects = self.supervisor.borrow_mut().on_call_timeout(now_ms);
        if was_answering && !self.supervisor.borrow().grants_lease() {
            self.events.line(Level::Notable, "upstream_mute", &[("cause", json!(cause))]);
        }
        self.apply(effects);
    }

    pub(crate) fn start_answered(self: &Rc<Self>, task: &TaskId, run: u32, result: StartResult) {
        let now_ms = self.now_ms();
        let (event, level) = match result {
            StartResult::Started => ("started", Level::Routine),
            _ => ("not_started", Level::Notable),
        };
        let fields = [
            ("job", json!(&*task.job)),
            ("task", json!(task.to_string())),
            ("run", json!(run)),
            ("token", json!(self.token.get())),
            ("result", json!(format!("{result:?}"))),
        ];
        self.events.line(level, event, &fields);
        let effects = self.supervisor.borrow_mut().on_start_result(task, run, result, now_ms);
        self.apply(effects);
    }

    pub(crate) fn stop_answered(self: &Rc<Self>, task: &TaskId, run: u32, is_acknowledged: bool) {
        let now_ms = self.now_ms();
        let effects =
            self.supervisor.borrow_mut().on_stop_result(task, run, is_acknowledged, now_ms);
        self.apply(effects);
    }
}
