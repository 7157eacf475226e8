//! Calls to the upstream on this machine.

use std::{pin::pin, rc::Rc, time::Duration};

use direct::{RunList, StartResult, StartRun, StopCause, TaskId};
use platform::{CallFailure, RunListReply};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{agent::state::AgentState, clock};

/// How long a poll waits for a run to end, milliseconds. It is short enough that the lease does not
/// expire when several replies in a row are lost.
const POLL_WAIT_MS: u64 = 150;
/// How long a poll waits while tasks run, milliseconds: a lost reply delays the outcomes of all runs
/// that end meanwhile.
const BUSY_POLL_WAIT_MS: u64 = 80;
/// How long a poll waits while a stop is pending, milliseconds.
const STOP_WAIT_MS: u64 = 30;
/// Shortest pause between polls that may show that the agent can open.
const OPENING_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a failed poll.
const FAILED_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a poll whose connection broke: the next one shows whether the upstream still exists.
const BROKEN_PAUSE: Duration = Duration::from_millis(2);
/// Pause after a poll that was refused because of its fencing token.
const FENCED_PAUSE: Duration = Duration::from_millis(10);
/// Pause before an unacknowledged stop is repeated.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Polls the upstream's runs, for ever; each poll also extends the lease of the runs.
pub(crate) async fn poll_runs(state: Rc<AgentState>) {
    loop {
        if let Some(pause) = state.opening_pause() {
            sleep(pause.max(OPENING_PAUSE)).await;
        }
        let sent_ms = clock::now_ms();
        // A poll that waits would delay the news that the upstream responds again.
        let wait_ms = match (state.is_open(), state.has_pending_stop()) {
            (false, false) => 0,
            _ if !state.is_responsive() || state.awaits_fencing() => 0,
            (_, true) => STOP_WAIT_MS,
            (true, false) if state.is_idle() => POLL_WAIT_MS,
            (true, false) => BUSY_POLL_WAIT_MS,
        };
        let lease_end = state.next_lease_end(sent_ms);
        let token = state.token();
        let mut call = pin!(state.executor.poll_runs(
            token,
            state.list_position.get().seq(),
            lease_end,
            wait_ms
        ));
        let overdue = Duration::from_millis(wait_ms) + state.call_overdue();
        let reply = match timeout(overdue, &mut call).await {
            Ok(reply) => reply,
            Err(_) => {
                if !state.is_idle() {
                    spawn_local(poll_runs_once(Rc::clone(&state)));
                }
                call.await
            }
        };
        let received_ms = clock::now_ms();
        state.record_lease_call_end(sent_ms, &reply);
        match reply {
            Ok(reply) => {
                state.record_upstream_clock(reply.clock_ms, received_ms);
                if reply.is_fenced {
                    state.on_fenced(token);
                    sleep(FENCED_PAUSE).await;
                    continue;
                }
                on_reply(&state, reply, token, (sent_ms, received_ms));
            }
            Err(e) => {
                state.on_call_error(&e);
                sleep(if e.failure == CallFailure::Broken { BROKEN_PAUSE } else { FAILED_PAUSE })
                    .await;
            }
        }
    }
}

/// Polls the upstream's runs once without waiting, in parallel to [`poll_runs`].
pub(crate) async fn poll_runs_once(state: Rc<AgentState>) {
    let Ok(_permit) = state.calls.acquire().await else { return };
    let sent_ms = clock::now_ms();
    let lease_end = state.next_lease_end(sent_ms);
    let token = state.token();
    let reply =
        state.executor.poll_runs(token, state.list_position.get().seq(), lease_end, 0).await;
    let received_ms = clock::now_ms();
    state.record_lease_call_end(sent_ms, &reply);
    match reply {
        Ok(reply) if !reply.is_fenced => {
            state.record_upstream_clock(reply.clock_ms, received_ms);
            on_reply(&state, reply, token, (sent_ms, received_ms));
        }
        Ok(_) => {}
        Err(e) => state.on_call_error(&e),
    }
}

/// Applies the reply to a poll that was sent with `token`, and arrived, at the given times.
fn on_reply(
    state: &Rc<AgentState>,
    reply: RunListReply,
    token: u64,
    (sent_ms, received_ms): (u64, u64),
) {
    let (incarnation, last_ended_seq) = (reply.incarnation, reply.last_ended_seq);
    state.on_run_list(&RunList {
        sent_ms,
        received_ms,
        incarnation: reply.incarnation,
        is_fencing: state.on_token_accepted(token),
        running: reply.running,
        unnumbered: reply.unnumbered,
        ended: reply.ended,
    });
    state.record_last_ended(incarnation, last_ended_seq);
}

/// Starts a run at the upstream.
pub(crate) async fn start(state: Rc<AgentState>, start: StartRun) {
    let Ok(_permit) = state.calls.acquire().await else { return };
    let sent_ms = clock::now_ms();
    // The start may have waited for its permit, or the process may have been suspended.
    if !state.may_send_start(&start.task, start.run) {
        state.on_start_result(&start.task, start.run, StartResult::Refused);
        return;
    }
    let Some(lease_end) = state.next_lease_end(sent_ms) else {
        // The upstream is unresponsive and gets no lease, so the start is not sent.
        state.on_start_result(&start.task, start.run, StartResult::Refused);
        return;
    };
    // An upstream that has just been replaced has not sent its id yet.
    let Some(instance) = state.upstream_id() else {
        state.on_start_result(&start.task, start.run, StartResult::Refused);
        return;
    };
    let mut call = pin!(state.executor.start(&start, &instance, state.token(), lease_end));
    let answer = match timeout(state.call_overdue(), &mut call).await {
        Ok(answer) => answer,
        Err(_) => {
            state.on_start_overdue(&start.task, start.run);
            call.await
        }
    };
    state.record_lease_call_end(sent_ms, &answer);
    let received_ms = clock::now_ms();
    let result = match answer {
        Ok((result, clock_ms)) => {
            state.record_upstream_clock(clock_ms, received_ms);
            state.record_start_time(received_ms.saturating_sub(sent_ms));
            result
        }
        Err(e) => {
            state.on_call_error(&e);
            match e.failure {
                CallFailure::Refused => StartResult::Undelivered,
                CallFailure::Broken => StartResult::Broken,
                CallFailure::Unanswered => StartResult::Unknown,
            }
        }
    };
    state.on_start_result(&start.task, start.run, result);
}

/// Stops a run at the upstream.
pub(crate) async fn stop(state: Rc<AgentState>, task: TaskId, run: u32, cause: StopCause) {
    let is_acknowledged = {
        let Ok(_permit) = state.stops.acquire().await else { return };
        state.on_stop_sent(&task, run, cause);
        let sent_ms = clock::now_ms();
        let mut call = pin!(state.executor.stop(&task, run, state.token()));
        let is_acknowledged = match timeout(state.call_overdue(), &mut call).await {
            Ok(is_acknowledged) => is_acknowledged,
            Err(_) => {
                state.on_stop_overdue(&task, run);
                call.await
            }
        };
        let took_ms = clock::now_ms().saturating_sub(sent_ms);
        state.on_stop_answer(&task, run, cause, is_acknowledged, took_ms);
        is_acknowledged
    };
    if !is_acknowledged {
        sleep(STOP_PAUSE).await;
    }
    state.on_stop_result(&task, run, is_acknowledged);
}
