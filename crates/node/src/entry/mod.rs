//! The process in front of callers.

mod agent_links;
mod callers;
mod state;

use std::{cell::Cell, future::Future, path::PathBuf, rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use platform::is_readiness_probe;
use serde_json::json;
use tokio::{
    net::TcpListener,
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};
use types::StepError;

pub(crate) use crate::entry::agent_links::FirstMessage;
use crate::{
    DirectEntrySettings, EXIT_MARGIN_MS, config_watch, directory,
    entry::state::EntryState,
    events::Level,
    http_server::{Answer, ConnectionLimits, HttpServer, listen, local_addr},
    metrics_server, peer_links,
    settings_watch::SettingsWatch,
    store_access::StoreAccess,
};

/// Period of looking at deadlines while jobs are there, and without.
const BUSY_TICK: Duration = Duration::from_millis(12);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time that the platform takes to send no more connections to a process that is not ready:
/// two probes, one a second, and their answers.
const OUT_OF_ROTATION: Duration = Duration::from_millis(2_300);
const PROBE_LIMITS: ConnectionLimits = ConnectionLimits { header_bytes: 8_192, idle_ms: 60_000 };

/// An entry whose addresses are bound.
pub struct DirectEntry {
    /// The settings as they were read.
    file_settings: DirectEntrySettings,
    settings: DirectEntrySettings,
    state: Rc<EntryState>,
    callers: TcpListener,
    readiness: TcpListener,
    links: TcpListener,
}

impl DirectEntry {
    /// Binds the addresses of the settings; port 0 stands for any.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened at.
    pub async fn bind(mut settings: DirectEntrySettings) -> Result<Self, StepError> {
        let file_settings = settings.clone();
        let links = listen(settings.links).await?;
        let readiness = listen(settings.readiness).await?;
        let callers = listen(settings.callers).await?;
        settings.links = local_addr(&links)?;
        settings.readiness = local_addr(&readiness)?;
        settings.callers = local_addr(&callers)?;
        let state = EntryState::new(&settings);
        Ok(Self { file_settings, settings, state, callers, readiness, links })
    }

    /// Returns the settings, with the addresses that are bound.
    pub fn settings(&self) -> &DirectEntrySettings {
        &self.settings
    }

    /// Serves until `stop` is ready, then finishes what is being answered. Runs on a local set.
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
        let Self { file_settings, settings, state, callers, readiness, links } = self;
        metrics_server::start(settings.process.metrics).await?;
        let is_closing = Rc::new(Cell::new(false));
        let store = StoreAccess::new(&settings.process.store, Rc::clone(&state.events))?;
        let fields = [
            ("callers", json!(settings.callers.to_string())),
            ("links", json!(settings.links.to_string())),
            ("readiness", json!(settings.readiness.to_string())),
        ];
        state.events.line(Level::Notable, "start", &fields);
        state.events.flush();
        let adopting = Rc::clone(&state);
        let adopt = Rc::new(move |raw: &[u8]| adopting.adopt_config(raw, "store"));
        let known = Rc::clone(&state.known);
        let mut parts = JoinSet::new();
        parts.spawn_local(agent_links::accept(links, Rc::clone(&state)));
        parts.spawn_local(tick(Rc::clone(&state)));
        parts.spawn_local(dial_peers(Rc::clone(&state)));
        parts.spawn_local(config_watch::follow(store.clone(), adopt));
        let name = settings.process.name.as_ref().into();
        parts.spawn_local(directory::announce(store.clone(), name, settings.links));
        parts.spawn_local(directory::follow(store.clone(), known, Some(settings.links)));
        parts.spawn_local(serve_readiness(readiness, Rc::clone(&state), Rc::clone(&is_closing)));
        if let Some(watch) = watch {
            let (events, adopting) = (Rc::clone(&state.events), Rc::clone(&state));
            let adopt = move |new: &DirectEntrySettings| {
                adopting.adopt_settings(&new.process);
                store.set_rates(&new.process.store);
            };
            parts.spawn_local(watch.follow(file_settings, events, adopt));
        }
        serve_callers(&callers, &state, &is_closing, stop).await?;
        state.events.line(Level::Notable, "stop", &[("unanswered", json!(state.unanswered()))]);
        state.events.close();
        Ok(())
    }
}

async fn serve_callers(
    listener: &TcpListener,
    state: &Rc<EntryState>,
    is_closing: &Rc<Cell<bool>>,
    stop: impl Future<Output = Result<(), StepError>>,
) -> Result<(), StepError> {
    let server = HttpServer::new(Rc::clone(is_closing));
    let mut stopped = Ok(());
    let stopping = async {
        stopped = stop.await;
        is_closing.set(true);
        let fields = [("unanswered", json!(state.unanswered()))];
        state.events.line(Level::Notable, "stopping", &fields);
        sleep(OUT_OF_ROTATION).await;
    };
    let limits = || state.connection_limits();
    let handling = Rc::clone(state);
    let handle = move |req: Request<Incoming>| callers::answer(Rc::clone(&handling), req);
    server.accept_until(listener, limits, handle, stopping).await;
    let out_of_rotation = u64::try_from(OUT_OF_ROTATION.as_millis()).unwrap_or(u64::MAX);
    let left_ms = state.grace_ms().saturating_sub(EXIT_MARGIN_MS + out_of_rotation);
    if timeout(Duration::from_millis(left_ms), server.shutdown()).await.is_err() {
        log::warn!("stopped with {} requests unanswered", state.unanswered());
    }
    stopped
}

async fn serve_readiness(listener: TcpListener, state: Rc<EntryState>, is_closing: Rc<Cell<bool>>) {
    let server = HttpServer::new(Rc::new(Cell::new(false)));
    let handle = move |req: Request<Incoming>| {
        let is_ready = !is_closing.get() && state.is_ready();
        let is_probe = is_readiness_probe(req.method().as_str(), req.uri().path());
        async move { readiness_answer(is_probe, is_ready) }
    };
    server.accept_until(&listener, || PROBE_LIMITS, handle, std::future::pending()).await;
}

fn readiness_answer(is_probe: bool, is_ready: bool) -> Answer {
    let status = match (is_probe, is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn tick(state: Rc<EntryState>) {
    loop {
        sleep(if state.is_busy() { BUSY_TICK } else { IDLE_TICK }).await;
        state.tick();
    }
}

async fn dial_peers(state: Rc<EntryState>) {
    loop {
        for addr in state.known.take_undialled() {
            if addr != state.links {
                let holder = Rc::clone(&state) as Rc<dyn peer_links::ConfigHolder>;
                spawn_local(peer_links::dial(addr, Rc::clone(&state.known), holder));
            }
        }
        sleep(IDLE_TICK).await;
    }
}
