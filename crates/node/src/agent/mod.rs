//! The process beside an upstream.

mod control;
mod entry_links;
mod executor_calls;
mod state;

use std::{cell::Cell, future::Future, path::PathBuf, rc::Rc, time::Duration};

use serde_json::json;
use tokio::{
    net::TcpListener,
    task::{JoinSet, spawn_local},
    time::sleep,
};
use types::StepError;

use crate::{
    DirectAgentSettings, EXIT_MARGIN_MS,
    agent::state::AgentState,
    clock, directory,
    events::Level,
    http_server::{ConnectionLimits, HttpServer, listen, local_addr},
    metrics_server,
    settings_watch::SettingsWatch,
    store_access::StoreAccess,
};

/// Period of looking at deadlines while something runs, and without.
const BUSY_TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(80);
const CONTROL_LIMITS: ConnectionLimits = ConnectionLimits { header_bytes: 16_384, idle_ms: 60_000 };

/// An agent whose addresses are bound.
pub struct DirectAgent {
    /// The settings as they were read.
    file_settings: DirectAgentSettings,
    settings: DirectAgentSettings,
    state: Rc<AgentState>,
    control: TcpListener,
}

impl DirectAgent {
    /// Binds the addresses of the settings; port 0 stands for any.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened at.
    pub async fn bind(mut settings: DirectAgentSettings) -> Result<Self, StepError> {
        let file_settings = settings.clone();
        let control = listen(settings.control).await?;
        settings.control = local_addr(&control)?;
        let state = AgentState::new(&settings)?;
        Ok(Self { file_settings, settings, state, control })
    }

    /// Returns the settings, with the addresses that are bound.
    pub fn settings(&self) -> &DirectAgentSettings {
        &self.settings
    }

    /// Serves until `stop` is ready, then waits for the end of what runs. Runs on a local set.
    /// Settings are read again when `file`, from which they came, changes.
    ///
    /// # Errors
    ///
    /// When a client of another system cannot be built, or `stop` fails.
    pub async fn run(
        self,
        stop: impl Future<Output = Result<(), StepError>>,
        file: Option<PathBuf>,
    ) -> Result<(), StepError> {
        let watch = file.map(SettingsWatch::new).transpose()?;
        let Self { file_settings, settings, state, control } = self;
        metrics_server::start(settings.process.metrics).await?;
        let store = StoreAccess::new(&settings.process.store, Rc::clone(&state.events))?;
        let fields = [
            ("control", json!(settings.control.to_string())),
            ("upstream", json!(settings.upstream.to_string())),
        ];
        state.events.line(Level::Notable, "start", &fields);
        state.events.flush();
        let mut parts = JoinSet::new();
        parts.spawn_local(serve_control(control, Rc::clone(&state)));
        parts.spawn_local(executor_calls::hold(Rc::clone(&state)));
        parts.spawn_local(tick(Rc::clone(&state)));
        parts.spawn_local(directory::follow(store.clone(), Rc::clone(&state.known), None));
        parts.spawn_local(dial_entries(Rc::clone(&state)));
        if let Some(watch) = watch {
            let (events, adopting) = (Rc::clone(&state.events), Rc::clone(&state));
            let adopt = move |new: &DirectAgentSettings| {
                adopting.adopt_settings(&new.process);
                store.set_rates(&new.process.store);
            };
            parts.spawn_local(watch.follow(file_settings, events, adopt));
        }
        let stopped = stop.await;
        finish(&state).await;
        state.events.line(Level::Notable, "stop", &[("is_idle", json!(state.is_idle()))]);
        state.events.close();
        stopped
    }
}

async fn serve_control(listener: TcpListener, state: Rc<AgentState>) {
    let server = HttpServer::new(Rc::new(Cell::new(false)));
    let handle = move |req| control::answer(Rc::clone(&state), req);
    server.accept_until(&listener, || CONTROL_LIMITS, handle, std::future::pending()).await;
}

/// Takes no further orders and waits for the end of what runs.
async fn finish(state: &Rc<AgentState>) {
    state.events.line(Level::Notable, "stopping", &[]);
    state.begin_drain();
    let end_ms = clock::now_ms() + state.grace_ms().saturating_sub(EXIT_MARGIN_MS);
    // Orders that crossed the report are refused meanwhile.
    sleep(IDLE_TICK).await;
    while !state.is_idle() && clock::now_ms() < end_ms {
        sleep(BUSY_TICK).await;
    }
    sleep(BUSY_TICK).await;
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
