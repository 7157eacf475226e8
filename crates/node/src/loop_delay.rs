//! How late the process is: the delay of its own timers, which grows when it gets too little
//! processor time or something blocks its thread.

use std::{cell::RefCell, rc::Rc, time::Duration};

use metrics::counter;
use serde_json::json;

use crate::{
    clock,
    events::{Events, Level},
};

/// Delay of a timer from which it is reported, milliseconds: well above the resolution of timers and
/// the time slices of a busy machine, below the bounds that keep two runs of a task apart.
const MIN_REPORTED_DELAY_MS: u64 = 20;
/// Most lines a second; further delays are counted in the next line.
const MAX_LINES_PER_SECOND: u32 = 5;

/// Watches the timer of a process's periodic check.
#[derive(Debug)]
pub(crate) struct LoopDelay {
    events: Rc<Events>,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Time at which the timer should run, milliseconds; `None` while none is set.
    due_ms: Option<u64>,
    limit: LineLimit,
}

/// Limits the lines of each second.
#[derive(Debug, Default)]
pub(crate) struct LineLimit {
    second: u64,
    lines: u32,
    /// Delays without a line since the last one, and the longest of them, milliseconds.
    unreported: u64,
    longest_ms: u64,
}

/// Delays that were not reported before a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unreported {
    pub(crate) count: u64,
    pub(crate) longest_ms: u64,
}

impl LineLimit {
    /// Returns the delays to add to the line about a delay; `None` if it gets no line.
    pub(crate) fn admit(&mut self, delay_ms: u64, now_ms: u64) -> Option<Unreported> {
        if self.second != now_ms / 1_000 {
            (self.second, self.lines) = (now_ms / 1_000, 0);
        }
        if self.lines >= MAX_LINES_PER_SECOND {
            self.unreported += 1;
            self.longest_ms = self.longest_ms.max(delay_ms);
            return None;
        }
        self.lines += 1;
        let (count, longest_ms) =
            (std::mem::take(&mut self.unreported), std::mem::take(&mut self.longest_ms));
        Some(Unreported { count, longest_ms })
    }
}

impl LoopDelay {
    pub(crate) fn new(events: Rc<Events>) -> Self {
        Self { events, state: RefCell::default() }
    }

    /// Notes that a timer of this duration is being set.
    pub(crate) fn set_timer(&self, period: Duration) {
        let period_ms = u64::try_from(period.as_millis()).unwrap_or(u64::MAX);
        self.state.borrow_mut().due_ms = Some(clock::now_ms().saturating_add(period_ms));
    }

    /// Reports how late the timer is that runs now.
    pub(crate) fn on_timer(&self) {
        let now_ms = clock::now_ms();
        let mut state = self.state.borrow_mut();
        let Some(due_ms) = state.due_ms.take() else { return };
        let delay_ms = now_ms.saturating_sub(due_ms);
        if delay_ms < MIN_REPORTED_DELAY_MS {
            return;
        }
        counter!("process_late_loops").increment(1);
        counter!("process_late_loop_ms").increment(delay_ms);
        if let Some(Unreported { count, longest_ms }) = state.limit.admit(delay_ms, now_ms) {
            let mut fields = vec![("delay_ms", json!(delay_ms))];
            if count > 0 {
                fields.push(("unreported", json!(count)));
                fields.push(("longest_ms", json!(longest_ms)));
            }
            self.events.emit(Level::Notable, "late_loop", &fields);
        }
    }
}

#[cfg(test)]
mod tests;
