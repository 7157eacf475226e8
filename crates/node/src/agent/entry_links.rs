//! Connections to entries, opened by the agent.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use direct::{Report, SessionKey, ToAgent};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};
use types::StepError;

use crate::{
    agent::state::AgentState,
    entry::FirstMessage,
    frames::{self, FrameRx, FrameTx},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bounds of the pause between attempts to connect, milliseconds.
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 250;
/// Failed attempts in a row after which an address is forgotten.
const ATTEMPTS_TO_FORGET: u32 = 120;

/// Keeps a connection to an entry until it is forgotten.
pub(crate) async fn dial(addr: SocketAddr, state: Rc<AgentState>) {
    let mut failures = 0;
    let mut pause_ms = FIRST_PAUSE_MS;
    while failures < ATTEMPTS_TO_FORGET {
        let mut was_connected = false;
        if let Err(e) = serve(addr, &state, &mut was_connected).await {
            log::debug!("link to an entry: {e}");
        }
        state.known.set_connected(addr, false);
        if was_connected {
            failures = 0;
            pause_ms = FIRST_PAUSE_MS;
        }
        failures += 1;
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
    state.known.forget(addr);
}

async fn serve(
    addr: SocketAddr,
    state: &Rc<AgentState>,
    was_connected: &mut bool,
) -> Result<(), StepError> {
    let stream = frames::connect(addr, CONNECT_TIMEOUT).await?;
    let (mut tx, rx) = frames::split::<FirstMessage, ToAgent>(stream, addr)?;
    tx.feed(&FirstMessage::Agent(state.hello())).await?;
    tx.flush().await?;
    let mut rx: FrameRx<ToAgent> = rx;
    let silence = Duration::from_millis(state.timing.silence_ms);
    let Ok(first) = timeout(silence, rx.next()).await else { return Ok(()) };
    let ToAgent::Hello(hello) = first? else { return Ok(()) };
    *was_connected = true;
    state.known.set_connected(addr, true);
    state.known.add_all(&hello.entries);
    let epoch = state.epoch();
    let (key, wake) = state.entry_connected(&hello);
    let writer = spawn_local(write(tx.retype(), key, Rc::clone(&wake), Rc::clone(state)));
    let result = loop {
        match timeout(silence, rx.next()).await {
            // What was received before a suspension is as old as the suspension is long.
            _ if state.epoch() != epoch => break Ok(()),
            Ok(Ok(message)) => state.entry_said(key, message),
            Ok(Err(e)) => break Err(e),
            Err(_) => break Ok(()),
        }
    };
    writer.abort();
    state.entry_gone(key, &wake, result.as_ref().err());
    result
}

async fn write(
    mut tx: FrameTx<Report>,
    key: SessionKey,
    wake: Rc<Notify>,
    state: Rc<AgentState>,
) -> Result<(), StepError> {
    let heartbeat = Duration::from_millis(state.timing.heartbeat_ms);
    let mut sent = None;
    loop {
        if let Some(report) = state.report(key, &mut sent) {
            tx.feed(&report).await?;
            tx.flush().await?;
        }
        // Without news the report is the sign of life.
        let _ = timeout(heartbeat, wake.notified()).await;
    }
}
