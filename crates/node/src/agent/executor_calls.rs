//! Calls to the upstream on this machine.

use std::{rc::Rc, time::Duration};

use direct::{RunList, StartResult, StartRun, TaskId};
use platform::RunListReply;
use tokio::time::sleep;

use crate::{agent::state::AgentState, clock};

/// How long a call waits for an end. Source: several lost answers in a row must not let the lease
/// lapse.
const HOLD_WAIT_MS: u64 = 150;
/// How long it waits while the effect of a stop is to be seen.
const STOP_WAIT_MS: u64 = 30;
/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(40);
/// Pause before a stop is repeated.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Keeps the lease of what runs and learns of ends, for ever.
pub(crate) async fn hold(state: Rc<AgentState>) {
    loop {
        let sent_ms = clock::now_ms();
        let wait_ms = match (state.is_open(), state.has_pending_stop()) {
            (false, false) => 0,
            (_, true) => STOP_WAIT_MS,
            (true, false) => HOLD_WAIT_MS,
        };
        let lease = state.next_lease(sent_ms);
        let answer =
            state.executor.poll_runs(state.token(), state.last_end.get(), lease, wait_ms).await;
        let received_ms = clock::now_ms();
        match answer {
            Ok(answer) => {
                state.clock_seen(answer.clock_ms, received_ms);
                if answer.is_fenced || state.token() == 0 {
                    state.raise_token();
                    continue;
                }
                take_lists(&state, answer, sent_ms, received_ms);
            }
            Err(e) => {
                state.call_unanswered(&e.to_string());
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Asks for the lists once, beside the call that waits.
pub(crate) async fn look(state: Rc<AgentState>) {
    let Ok(_permit) = state.calls.acquire().await else { return };
    let sent_ms = clock::now_ms();
    let lease = state.next_lease(sent_ms);
    let answer = state.executor.poll_runs(state.token(), state.last_end.get(), lease, 0).await;
    match answer {
        Ok(answer) if !answer.is_fenced => take_lists(&state, answer, sent_ms, clock::now_ms()),
        Ok(_) => {}
        Err(e) => state.call_unanswered(&e.to_string()),
    }
}

fn take_lists(state: &Rc<AgentState>, answer: RunListReply, sent_ms: u64, received_ms: u64) {
    let (running, ended) = (answer.running, answer.ended);
    state.ends_listed(answer.incarnation, answer.last_ended_seq);
    state.held(&RunList { sent_ms, received_ms, incarnation: answer.incarnation, running, ended });
}

/// Sends a start.
pub(crate) async fn start(state: Rc<AgentState>, start: StartRun) {
    let Ok(_permit) = state.calls.acquire().await else { return };
    let sent_ms = clock::now_ms();
    let Some(lease) = state.next_lease(sent_ms) else {
        // The upstream does not answer; nothing has been sent.
        state.start_answered(&start.task, start.run, StartResult::Refused);
        return;
    };
    let (result, clock_ms) = state.executor.start(&start, state.token(), lease).await;
    state.clock_seen(clock_ms, clock::now_ms());
    if result == StartResult::Unknown {
        state.call_unanswered("a start was not answered");
    }
    state.start_answered(&start.task, start.run, result);
}

/// Sends a stop.
pub(crate) async fn stop(state: Rc<AgentState>, task: TaskId, run: u32) {
    let is_acknowledged = {
        let Ok(_permit) = state.calls.acquire().await else { return };
        state.executor.stop(&task, run, state.token()).await
    };
    if !is_acknowledged {
        sleep(STOP_PAUSE).await;
    }
    state.stop_answered(&task, run, is_acknowledged);
}
