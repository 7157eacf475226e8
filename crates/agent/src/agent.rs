//! Starts, drains and supervises the parts of an agent.

#[cfg(test)]
mod supervision_tests;

use std::{net::SocketAddr, sync::Arc};

use intake::{ConnectionLimits, IntakeLimits, RouterServer};
use kameo::actor::{ActorRef, Spawn};
use metrics_exporter_prometheus::PrometheusHandle;
use ports::{Executor, HttpExecutor, HttpWorker};
use rpc::{AgentIdentity, MemberState};
use telemetry::Traces;
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
    task::JoinHandle,
    time::{Duration, sleep},
};
use types::{Incarnation, Peer, StepError};

use crate::{
    admin::{self, AdminState},
    announcer::{AnnouncedState, Announcer},
    core::Core,
    known_entries::AddressSource,
    leased_worker::LeasedWorker,
    messages::Drain,
    rpc_server::RpcServer,
    settings::AgentSettings,
    upstream::Upstream,
};

/// Time after a drain in which the last replies are sent before the process exits.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(300);
/// Limits of the admin listener. Requests have no bodies; the bytes are for responses that their clients
/// have not read.
const ADMIN_LIMITS: IntakeLimits = IntakeLimits::internal(1024 * 1024);
const ADMIN_CONNECTION_LIMITS: ConnectionLimits =
    ConnectionLimits { header_bytes: 16_384, idle_ms: 60_000, discarded_bytes: 0 };

/// Components that an agent uses besides its settings.
#[derive(Clone, Default)]
pub struct AgentParts {
    /// Renders the metrics of the process; needs an installed recorder.
    pub metrics: Option<PrometheusHandle>,
    /// Finished spans, returned by `/v1/traces`.
    pub traces: Option<Traces>,
    /// Executor to use in place of the one in the settings.
    pub executor: Option<Arc<dyn Executor>>,
}

/// A handle to a running agent; clones refer to the same agent.
#[derive(Clone)]
pub struct Agent {
    identity: AgentIdentity,
    addr: SocketAddr,
    admin_addr: SocketAddr,
    core: ActorRef<Core>,
    state: watch::Sender<AnnouncedState>,
    has_failed: Arc<watch::Sender<bool>>,
    tasks: Arc<Vec<JoinHandle<()>>>,
}

impl Agent {
    /// Binds the listeners, starts to serve and announces the upstream to the entries.
    ///
    /// # Errors
    ///
    /// [`StepError`] if a listener cannot be bound, if the settings name neither or both of an
    /// executor and a worker, or if the HTTP client cannot be set up.
    pub async fn start(settings: AgentSettings, parts: AgentParts) -> Result<Self, StepError> {
        let listener = rpc::listen(settings.listen).await?;
        let admin_listener = intake::listen(settings.admin.listen, ADMIN_LIMITS)?;
        let addr = local_addr(&listener, settings.listen)?;
        let admin_addr = local_addr(&admin_listener, settings.admin.listen)?;
        let upstream = match parts.executor {
            Some(executor) => Upstream::Executor(executor),
            None => http_upstream(&settings)?,
        };
        let identity = AgentIdentity {
            upstream: settings.name.clone(),
            incarnation: Incarnation::generate(),
            addr: settings.advertise.unwrap_or(addr),
            pool: settings.pool.clone(),
            location: settings.location.clone(),
            slots: settings.slots(),
            connections: settings.connections(),
            capacity: settings.capacity,
        };
        let core = Core::spawn(Core::new(identity.clone(), upstream, &settings.memory));
        let initial = AnnouncedState { state: MemberState::Serving, sequence: 1 };
        let (state, state_rx) = watch::channel(initial);
        let announcer = Announcer::new(identity.clone(), state_rx, core.clone());
        settings
            .entries
            .iter()
            .for_each(|entry| announcer.add_entry(*entry, AddressSource::Settings));
        let server = RpcServer { core: core.clone(), announcer, incarnation: identity.incarnation };
        let has_failed = Arc::new(watch::Sender::new(false));
        let tasks = Arc::default();
        let mut agent = Self { identity, addr, admin_addr, core, state, has_failed, tasks };
        let serve = agent.supervise(server.serve_links(listener));
        let router = admin::router(AdminState {
            agent: agent.clone(),
            tokens: settings.admin.tokens,
            metrics: parts.metrics,
            traces: parts.traces,
        });
        let server =
            RouterServer::new("operators", admin_listener, ADMIN_LIMITS, ADMIN_CONNECTION_LIMITS);
        let admin = agent.supervise(server.serve(router, std::future::pending()));
        agent.tasks = Arc::new(vec![serve, admin]);
        Ok(agent)
    }

    /// Returns the identity that the agent announces.
    pub fn identity(&self) -> &AgentIdentity {
        &self.identity
    }

    /// Returns the address of the listener for entries.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address of the admin listener.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Returns whether a drain has begun.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().state == MemberState::Leaving
    }

    /// Announces that the upstream is leaving, refuses queued tasks as not started, waits until
    /// running ones have ended and stops the agent.
    pub async fn drain(&self) {
        self.state.send_if_modified(|announced| {
            let is_first = announced.state == MemberState::Serving;
            announced.state = MemberState::Leaving;
            announced.sequence += u64::from(is_first);
            is_first
        });
        let (tx, rx) = oneshot::channel();
        if self.core.tell(Drain { tx }).await.is_ok() {
            let _ = rx.await;
        }
        sleep(REPLY_FLUSH_TIME).await;
        let _ = self.core.stop_gracefully().await;
    }

    /// Completes when the agent has stopped after a drain, when its core actor has stopped or when
    /// one of its servers has panicked.
    pub async fn stopped(&self) {
        let mut has_failed = self.has_failed.subscribe();
        tokio::select! {
            () = self.core.wait_for_shutdown() => {}
            _ = has_failed.wait_for(|has_failed| *has_failed) => {}
        }
    }

    /// Spawns a server of the agent.  A panic in it completes [`Agent::stopped`].
    fn supervise(&self, server: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let has_failed = Arc::clone(&self.has_failed);
        tokio::spawn(async move {
            let ended = tokio::spawn(server).await;
            if ended.is_err_and(|e| e.is_panic()) {
                has_failed.send_replace(true);
            }
        })
    }
}

fn http_upstream(settings: &AgentSettings) -> Result<Upstream, StepError> {
    match (&settings.executor, &settings.worker) {
        (Some(executor), None) => {
            let connections = executor.connections as usize;
            let executor = HttpExecutor::new(executor.url.clone(), connections)?;
            Ok(Upstream::Executor(Arc::new(executor)))
        }
        (None, Some(worker)) => {
            let lease = Duration::from_millis(worker.lease_ms);
            let worker = HttpWorker::new(worker.url.clone())?;
            Ok(Upstream::Worker(LeasedWorker::new(Arc::new(worker), lease)))
        }
        (Some(_), Some(_)) | (None, None) => {
            let cause = "either executor or worker must be given";
            Err(StepError::new("reading the settings", Peer::Local, cause))
        }
    }
}

fn local_addr(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr, StepError> {
    listener.local_addr().map_err(|e| StepError::new("binding", Peer::Address(configured), e))
}
