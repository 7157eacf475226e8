//! The agent: runs on the machine of an upstream and carries out the attempts that entries send.

mod control;
mod entry_links;
mod executor_calls;
mod state;

use std::{future::Future, path::PathBuf, rc::Rc, sync::Arc, time::Duration};

use intake::ConnectionLimits;
use serde_json::json;
use tokio::{
    task::{JoinSet, spawn_local},
    time::sleep,
};
use types::StepError;

use crate::{
    DirectAgentSettings, EXIT_MARGIN_MS, agent::state::AgentState, clock, directory, events::Level,
    http::InternalListener, metrics_server, settings_watch::SettingsWatch,
    store_access::StoreAccess,
};

/// Period of checking deadlines while tasks run, and while there are none.
const BUSY_TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(80);
/// Period of checking whether the agent has opened.
const OPENING_TICK: Duration = Duration::from_millis(10);
const CONTROL_LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 16_384,
    idle_ms: 60_000,
    discarded_bytes: control::MAX_REQUEST_BYTES,
};

/// An agent whose addresses are bound.
pub struct DirectAgent {
    /// The settings as in the file; in `settings`, port 0 is replaced by the bound port.
    file_settings: DirectAgentSettings,
    settings: DirectAgentSettings,
    state: Rc<AgentState>,
    control: InternalListener,
}

impl DirectAgent {
    /// Binds the addresses of the settings; port 0 binds any free port.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or the HTTP client cannot be built.
    pub async fn bind(mut settings: DirectAgentSettings) -> Result<Self, StepError> {
        let file_settings = settings.clone();
        let (addr, bytes) = (settings.control, control::MAX_REQUEST_BYTES);
        let control = InternalListener::bind("control", addr, bytes, CONTROL_LIMITS)?;
        settings.control = control.addr()?;
        let state = AgentState::new(&settings)?;
        Ok(Self { file_settings, settings, state, control })
    }

    /// Returns the settings with the bound addresses.
    pub fn settings(&self) -> &DirectAgentSettings {
        &self.settings
    }

    /// Serves until `stop` is ready, then waits for the tasks that run, within the grace period.
    /// Must run in a `LocalSet`. If `file` is given, the settings are reloaded from it when it
    /// changes.
    ///
    /// # Errors
    ///
    /// Fails when an HTTP client, a signal handler or the metrics server cannot be set up, or when
    /// `stop` fails.
    pub async fn run(
        self,
        stop: impl Future<Output = Result<(), StepError>>,
        file: Option<PathBuf>,
    ) -> Result<(), StepError> {
        let watch = file.map(SettingsWatch::new).transpose()?;
        let Self { file_settings, settings, state, control } = self;
        metrics_server::start(settings.process.metrics, |_| None)?;
        let store = StoreAccess::new(&settings.process.store, Rc::clone(&state.events))?;
        let fields = [
            ("control", json!(settings.control.to_string())),
            ("upstream", json!(settings.upstream.to_string())),
            ("incarnation", json!(state.incarnation())),
        ];
        state.events.emit(Level::Notable, "start", &fields);
        state.events.flush();
        let mut tasks = JoinSet::new();
        tasks.spawn_local(serve_control(control, Rc::clone(&state)));
        tasks.spawn_local(executor_calls::poll_runs(Rc::clone(&state)));
        tasks.spawn_local(tick(Rc::clone(&state)));
        tasks.spawn_local(directory::follow(store.clone(), Rc::clone(&state.known_entries), None));
        tasks.spawn_local(dial_entries(Rc::clone(&state)));
        if let Some(watch) = watch {
            let (events, settings_state) = (Rc::clone(&state.events), Rc::clone(&state));
            let apply = move |new: &DirectAgentSettings| {
                settings_state.apply_settings(&new.process);
                store.set_rates(&new.process.store);
            };
            tasks.spawn_local(watch.follow(file_settings, events, apply));
        }
        let stop_result = stop.await;
        drain(&state).await;
        state.emit_stop();
        state.events.close();
        stop_result
    }
}

async fn serve_control(listener: InternalListener, state: Rc<AgentState>) {
    let intake = Arc::clone(&listener.intake);
    listener.serve(move |req| control::handle(Rc::clone(&state), Arc::clone(&intake), req)).await;
}

/// Stops accepting attempts and waits for the tasks that run.
async fn drain(state: &Rc<AgentState>) {
    state.events.emit(Level::Notable, "stopping", &[]);
    state.begin_drain();
    let end_ms = clock::now_ms() + state.grace_ms().saturating_sub(EXIT_MARGIN_MS);
    // Attempts that entries sent before they learned of the drain arrive in this time and are
    // refused.
    sleep(IDLE_TICK).await;
    while !state.is_idle() && clock::now_ms() < end_ms {
        sleep(BUSY_TICK).await;
    }
    sleep(BUSY_TICK).await;
}

async fn tick(state: Rc<AgentState>) {
    loop {
        let is_idle = state.is_idle() && state.answers_claims();
        let period = if is_idle { IDLE_TICK } else { BUSY_TICK };
        state.loop_delay.set_timer(period);
        sleep(period).await;
        state.loop_delay.on_timer();
        state.tick();
    }
}

async fn dial_entries(state: Rc<AgentState>) {
    loop {
        if state.is_open() {
            for addr in state.known_entries.take_undialled() {
                spawn_local(entry_links::dial(addr, Rc::clone(&state)));
            }
        }
        sleep(if state.is_open() { IDLE_TICK } else { OPENING_TICK }).await;
    }
}
