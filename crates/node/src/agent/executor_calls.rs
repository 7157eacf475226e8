//! Calls to the upstream on this machine.

use std::{rc::Rc, time::Duration};

use direct::{HoldResult, StartResult, StartRun, TaskId};
use tokio::time::sleep;

use crate::{agent::state::AgentState, clock};

/// How long a call waits for an end: a third of the shortest lease, so that one lost answer does
/// not let it lapse.
const HOLD_WAIT_MS: u64 = 300;
/// How long it waits while the effect of a stop is to be seen.
const STOP_WAIT_MS: u64 = 30;
/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(40);
/// Pause before a stop is repeated.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Keeps the lease of what runs and learns of ends, for ever.
pub(crate) async fn hold(state: Rc<AgentState>) {
    let mut last_seen = 0;
    let mut born = None;
    loop {
        let sent_ms = clock::now_ms();
        let wait_ms = if state.awaits_stop() { STOP_WAIT_MS } else { HOLD_WAIT_MS };
        let lease = state.next_lease(sent_ms);
        let answer = state.executor.hold(state.token(), last_seen, lease, wait_ms).await;
        let received_ms = clock::now_ms();
        match answer {
            Ok(answer) => {
                if born.is_some() && born != answer.born {
                    last_seen = 0;
                }
                born = answer.born;
                state.clock_seen(answer.clock_ms, received_ms);
                if answer.is_fenced || state.token() == 0 {
                    state.raise_token();
                    continue;
                }
                last_seen = answer.last_end.unwrap_or(last_seen).max(last_seen);
                let result = HoldResult {
                    sent_ms,
                    received_ms,
                    born: answer.born,
                    running: answer.running,
                    ended: answer.ended,
                };
                state.held(&result);
            }
            Err(e) => {
                state.hold_failed(&e);
                sleep(FAILED_PAUSE).await;
            }
        }
    }
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
