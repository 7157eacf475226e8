//! The process beside an upstream.

mod control;
mod entry_links;
mod executor_calls;
mod state;

use std::{cell::Cell, rc::Rc, time::Duration};

use adapter::StoreClient;
use serde_json::json;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::spawn_local,
    time::sleep,
};
use types::{Peer, StepError};

use crate::{
    DirectAgentSettings,
    agent::state::AgentState,
    clock, directory,
    events::Weight,
    http_server::{ConnectionLimits, HttpServer, listen},
    metrics_server,
};

/// Longest time for an answer of the store, beside what a read waits.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Period of looking at deadlines while something runs, and without.
const BUSY_TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(80);
/// Left of the grace for the end of the process itself, milliseconds.
const EXIT_MARGIN_MS: u64 = 700;
const CONTROL_LIMITS: ConnectionLimits = ConnectionLimits { header_bytes: 16_384, idle_ms: 60_000 };

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// When an address cannot be listened at.
pub async fn run_agent(settings: DirectAgentSettings) -> Result<(), StepError> {
    metrics_server::start(settings.metrics).await?;
    let state = AgentState::new(&settings)?;
    let control = listen(settings.control).await?;
    let store = StoreClient::new(settings.store, STORE_TIMEOUT)?;
    let fields = [
        ("control", json!(settings.control.to_string())),
        ("upstream", json!(settings.upstream.to_string())),
    ];
    state.events.line(Weight::Notable, "start", &fields);
    let serving = Rc::clone(&state);
    spawn_local(async move {
        let server = HttpServer::new(Rc::new(Cell::new(false)));
        let handle = move |req| control::answer(Rc::clone(&serving), req);
        server.accept_until(&control, || CONTROL_LIMITS, handle, std::future::pending()).await;
    });
    spawn_local(executor_calls::hold(Rc::clone(&state)));
    spawn_local(tick(Rc::clone(&state)));
    spawn_local(directory::follow(store, Rc::clone(&state.known), None));
    spawn_local(dial_entries(Rc::clone(&state)));
    wait_for_end(&state, settings.grace_ms).await?;
    state.events.line(Weight::Notable, "stop", &[("is_idle", json!(state.is_idle()))]);
    state.events.flush();
    Ok(())
}

async fn wait_for_end(state: &Rc<AgentState>, grace_ms: u64) -> Result<(), StepError> {
    let fail = |e| StepError::new("listening for signals", Peer::Local, e);
    let mut terminate = signal(SignalKind::terminate()).map_err(fail)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fail)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(fail)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => state.events.line(Weight::Notable, "hangup", &[]),
        }
    }
    state.events.line(Weight::Notable, "stopping", &[]);
    state.leave();
    let end_ms = clock::now_ms() + grace_ms.saturating_sub(EXIT_MARGIN_MS);
    // Orders that crossed the report are refused meanwhile.
    sleep(IDLE_TICK).await;
    while !state.is_idle() && clock::now_ms() < end_ms {
        sleep(BUSY_TICK).await;
    }
    sleep(BUSY_TICK).await;
    Ok(())
}

async fn tick(state: Rc<AgentState>) {
    loop {
        sleep(if state.is_idle() { IDLE_TICK } else { BUSY_TICK }).await;
        state.tick();
    }
}

async fn dial_entries(state: Rc<AgentState>) {
    loop {
        if state.is_open() {
            for addr in state.known.take_undialled() {
                spawn_local(entry_links::dial(addr, Rc::clone(&state)));
            }
        }
        sleep(IDLE_TICK).await;
    }
}
