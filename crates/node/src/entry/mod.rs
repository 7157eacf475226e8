//! The entry: accepts jobs from callers, dispatches their tasks to agents and replies with the
//! outcomes.

mod agent_links;
mod callers;
mod evacuations;
mod link_progress;
mod placement_query;
mod state;

use std::{
    future::Future,
    net::SocketAddr,
    path::PathBuf,
    pin::pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use intake::{ConnectionLimits, HttpServer, RequestBody};
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
    DirectEntrySettings, EXIT_MARGIN_MS, clock, config_watch, directory,
    entry::state::EntryState,
    events::Level,
    http::{HttpResponse, InternalListener, accept_until},
    metrics_server, peer_links,
    settings_watch::SettingsWatch,
    store_access::StoreAccess,
};

/// Period of checking deadlines while jobs are outstanding, and while there are none.
const BUSY_TICK: Duration = Duration::from_millis(12);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time after which the platform sends no more connections to a process that is not ready: two
/// probes, one a second, and their replies.
const ROTATION_DELAY: Duration = Duration::from_millis(2_300);
/// Time for the callers to read the answers that they get at the end of the grace period; it is part
/// of [`EXIT_MARGIN_MS`].
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(300);
const PROBE_LIMITS: ConnectionLimits =
    ConnectionLimits { header_bytes: 8_192, idle_ms: 60_000, discarded_bytes: 0 };

/// An entry whose addresses are bound.
pub struct DirectEntry {
    /// The settings as in the file; in `settings`, port 0 is replaced by the bound port.
    file_settings: DirectEntrySettings,
    settings: DirectEntrySettings,
    state: Rc<EntryState>,
    callers: TcpListener,
    readiness: InternalListener,
    links: TcpListener,
}

impl DirectEntry {
    /// Binds the addresses of the settings; port 0 binds any free port.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn bind(mut settings: DirectEntrySettings) -> Result<Self, StepError> {
        let file_settings = settings.clone();
        let links = agent_links::listen(settings.links).await?;
        // Probes have no bodies.
        let readiness = InternalListener::bind("readiness", settings.readiness, 0, PROBE_LIMITS)?;
        let callers = intake::listen(settings.callers, settings.intake_limits())?;
        settings.links = intake::local_addr(&links)?;
        settings.readiness = readiness.addr()?;
        settings.callers = intake::local_addr(&callers)?;
        let state = EntryState::new(&settings);
        Ok(Self { file_settings, settings, state, callers, readiness, links })
    }

    /// Returns the settings with the bound addresses.
    pub fn settings(&self) -> &DirectEntrySettings {
        &self.settings
    }

    /// Serves until `stop` is ready, then completes the requests in progress, within the grace
    /// period. Must run in a `LocalSet`. If `file` is given, the settings are reloaded from it when
    /// it changes.
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
        let Self { file_settings, settings, state, callers, readiness, links } = self;
        let placement_state = Rc::clone(&state);
        let placement =
            move |req: &Request<RequestBody>| placement_query::respond(&placement_state, req.uri());
        metrics_server::start(settings.process.metrics, placement)?;
        let is_closing = Arc::new(AtomicBool::new(false));
        let store = StoreAccess::new(&settings.process.store, Rc::clone(&state.events))?;
        let fields = [
            ("callers", json!(settings.callers.to_string())),
            ("links", json!(settings.links.to_string())),
            ("advertised_links", json!(state.links.to_string())),
            ("readiness", json!(settings.readiness.to_string())),
        ];
        state.events.emit(Level::Notable, "start", &fields);
        state.events.flush();
        let known_entries = Rc::clone(&state.known_entries);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(agent_links::accept(links, Rc::clone(&state)));
        tasks.spawn_local(tick(Rc::clone(&state)));
        tasks.spawn_local(Rc::clone(&state).dispatch_when_due());
        tasks.spawn_local(dial_peers(Rc::clone(&state)));
        tasks.spawn_local(config_watch::follow(store.clone(), state.clone()));
        let name = settings.process.name.as_ref().into();
        tasks.spawn_local(directory::announce(store.clone(), name, state.links));
        tasks.spawn_local(directory::follow(store.clone(), known_entries, Some(state.links)));
        tasks.spawn_local(serve_readiness(readiness, Rc::clone(&state), Arc::clone(&is_closing)));
        if let Some(watch) = watch {
            let (events, settings_state) = (Rc::clone(&state.events), Rc::clone(&state));
            let apply = move |new: &DirectEntrySettings| {
                settings_state.apply_settings(&new.process);
                store.set_rates(&new.process.store);
            };
            tasks.spawn_local(watch.follow(file_settings, events, apply));
        }
        serve_callers(&callers, &state, &is_closing, stop).await?;
        state.events.emit(Level::Notable, "stop", &[("unanswered", json!(state.unanswered()))]);
        state.events.close();
        Ok(())
    }
}

async fn serve_callers(
    listener: &TcpListener,
    state: &Rc<EntryState>,
    is_closing: &Arc<AtomicBool>,
    stop: impl Future<Output = Result<(), StepError>>,
) -> Result<(), StepError> {
    let server = HttpServer::new(Arc::clone(&state.intake), Arc::clone(is_closing));
    let mut stop_result = Ok(());
    let stopping = async {
        stop_result = stop.await;
        is_closing.store(true, Ordering::Relaxed);
        let fields = [("unanswered", json!(state.unanswered()))];
        state.events.emit(Level::Notable, "stopping", &fields);
        sleep(ROTATION_DELAY).await;
    };
    let limits = || state.connection_limits();
    let caller_state = Rc::clone(state);
    let handle = move |req: Request<RequestBody>| callers::handle(Rc::clone(&caller_state), req);
    accept_until(&server, listener, limits, handle, stopping).await;
    let rotation_delay_ms = u64::try_from(ROTATION_DELAY.as_millis()).unwrap_or(u64::MAX);
    let remaining_ms = state.grace_ms().saturating_sub(EXIT_MARGIN_MS + rotation_delay_ms);
    let mut shutdown = pin!(server.shutdown());
    if timeout(Duration::from_millis(remaining_ms), &mut shutdown).await.is_err() {
        log::warn!(
            "grace period is over; answering {} requests without outcome",
            state.unanswered()
        );
        state.answer_all();
        if timeout(FINAL_ANSWERS_TIME, shutdown).await.is_err() {
            log::warn!("callers did not read their answers within {FINAL_ANSWERS_TIME:?}");
        }
    }
    stop_result
}

async fn serve_readiness(
    listener: InternalListener,
    state: Rc<EntryState>,
    is_closing: Arc<AtomicBool>,
) {
    let handle = move |req: Request<RequestBody>| {
        let is_ready = !is_closing.load(Ordering::Relaxed) && state.is_ready();
        let is_probe = is_readiness_probe(req.method().as_str(), req.uri().path());
        async move { readiness_response(is_probe, is_ready) }
    };
    listener.serve(handle).await;
}

fn readiness_response(is_probe: bool, is_ready: bool) -> HttpResponse {
    let status = match (is_probe, is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn tick(state: Rc<EntryState>) {
    loop {
        sleep(if state.is_busy() { BUSY_TICK } else { IDLE_TICK }).await;
        state.tick();
    }
}

async fn dial_peer(addr: SocketAddr, state: Rc<EntryState>) {
    let handler = Rc::clone(&state) as Rc<dyn peer_links::PeerHandler>;
    let was_connected = peer_links::dial(addr, handler).await;
    state.known_entries.end_dial(addr, was_connected, clock::now_ms());
}

async fn dial_peers(state: Rc<EntryState>) {
    loop {
        for addr in state.chosen_peers() {
            if state.known_entries.begin_dial(addr) {
                spawn_local(dial_peer(addr, Rc::clone(&state)));
            }
        }
        sleep(IDLE_TICK).await;
    }
}
