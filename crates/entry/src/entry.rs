//! Assembly of an entry from its listeners, actors and servers, and its shutdown.

#[cfg(test)]
mod supervision_tests;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use intake::{ConnectionLimits, IntakeLimits, RouterServer};
use jobs::{ClaimRecord, JobRecord, TableSettings};
use journal::{
    ConfigFollower, ConfigPublisher, ConfigRecord, PublisherSettings, Writer, WriterSettings,
};
use kameo::actor::{ActorRef, Spawn};
use metrics_exporter_prometheus::PrometheusHandle;
use platform::StoreClient;
use ports::{CallBudget, Log, Offset, StreamName};
use rpc::EntryIdentity;
use services::SharedConfig;
use telemetry::Traces;
use tokio::{
    net::TcpListener,
    sync::{Notify, oneshot, watch},
    task::JoinHandle,
    time::{Duration, sleep, timeout},
};
use types::{Incarnation, Partition, PartitionCount, Peer, StepError};

use crate::{
    admin::{self, AdminState},
    api::{self, CallerState},
    clock::Clock,
    dispatcher::{Dispatcher, DispatcherArgs},
    membership::Membership,
    messages::{ConfigChanged, ListUpstreams},
    ownership::{Owners, OwnershipManager, OwnershipManagerArgs, PeerClients, ReleaseAll},
    peer_server::PeerServer,
    recorder::Recorder,
    router::Router,
    settings::{EntrySettings, JobSettings, JournalSettings},
    supervise::spawn_for,
};

/// Time after a drain for which the process stays up to finish sending replies.
const LINGER: Duration = Duration::from_millis(200);
/// Longest time for a reply of the store, in addition to the time that a read waits for records.  A
/// grouped append of the largest size fits in it behind two seconds of other appends.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest head of a request, bytes.
const MAX_HEADER_BYTES: usize = 16_384;
/// Most bytes of a body that is not used that are discarded, as a multiple of the largest body.
const MAX_DISCARDED_BODIES: usize = 2;
/// Limits of the listener for operators: four of the largest patches.
const ADMIN_LIMITS: IntakeLimits = IntakeLimits::internal(4 * admin::MAX_PATCH_BYTES);

/// Parts of the process that an entry uses in addition to its settings.
#[derive(Clone, Default)]
pub struct EntryParts {
    /// Renders the process's metrics, if a recorder is installed.
    pub metrics: Option<PrometheusHandle>,
    /// The process's traces, if tracing is installed.
    pub traces: Option<Traces>,
    /// Replaces the HTTP client of the log.
    pub log: Option<Arc<dyn Log>>,
}

/// A running entry.  Clones refer to the same entry.
#[derive(Clone)]
pub struct Entry {
    identity: EntryIdentity,
    addr: SocketAddr,
    peer_addr: SocketAddr,
    admin_addr: SocketAddr,
    dispatcher: ActorRef<Dispatcher>,
    ownership_manager: ActorRef<OwnershipManager>,
    membership: ActorRef<Membership>,
    has_failed: Arc<watch::Sender<bool>>,
    config: ConfigFollower,
    publisher: ConfigPublisher,
    owners: watch::Receiver<Owners>,
    is_draining: Arc<AtomicBool>,
    grace: Duration,
    close_callers: Arc<Notify>,
    tasks: Arc<Vec<JoinHandle<()>>>,
}

/// Writers of the streams that an entry appends to.
struct Writers {
    jobs: Writer<JobRecord>,
    claims: Writer<ClaimRecord>,
    config: Writer<ConfigRecord>,
}

impl Writers {
    fn open(log: &Arc<dyn Log>, identity: &EntryIdentity, settings: &JournalSettings) -> Self {
        let budget = CallBudget::new(f64::from(settings.appends_per_s), 1);
        let open = |stream| {
            WriterSettings::new(stream, identity.incarnation, budget.clone())
                .max_backlog_bytes(settings.backlog_bytes)
        };
        let jobs = StreamName::jobs(&identity.name, identity.incarnation);
        Self {
            jobs: Writer::spawn(Arc::clone(log), open(jobs)),
            claims: Writer::spawn(Arc::clone(log), open(StreamName::claims())),
            config: Writer::spawn(Arc::clone(log), open(StreamName::config())),
        }
    }
}

/// The actors of an entry and the state that they share.
struct Actors {
    dispatcher: ActorRef<Dispatcher>,
    membership: ActorRef<Membership>,
    ownership_manager: ActorRef<OwnershipManager>,
    peers: PeerClients,
    owners: watch::Receiver<Owners>,
}

impl Actors {
    fn spawn(
        settings: &EntrySettings,
        identity: &EntryIdentity,
        log: &Arc<dyn Log>,
        writers: &Writers,
        config: &ConfigFollower,
    ) -> Self {
        let clock = Clock::start();
        let window = Duration::from_secs(settings.jobs.window_s);
        let table = table_settings(&settings.jobs);
        let partitions = PartitionCount(settings.jobs.partitions);
        let (position, position_rx) = watch::channel(Offset::default());
        let (recorder, check) =
            Recorder::new(Arc::clone(log), clock, writers.jobs.clone(), position_rx);
        let dispatcher = Dispatcher::spawn(DispatcherArgs {
            entry: identity.clone(),
            location: settings.location.clone(),
            clock,
            config: Arc::clone(config.in_force().config()),
            journal: writers.jobs.clone(),
            recorder,
            table,
            partitions,
            queue_bytes: settings.limits.queue_bytes,
        });
        spawn_for(&dispatcher, check.run(dispatcher.clone()));
        let membership =
            Membership::spawn(Membership::new(identity.clone(), dispatcher.clone(), window));
        let peers = PeerClients::new(identity.clone(), config.clone(), membership.clone());
        let unowned = vec![None; usize::from(partitions.0)];
        let (owners, owners_rx) = watch::channel(Arc::new(unowned));
        let ownership_manager = OwnershipManager::spawn(OwnershipManagerArgs {
            entry: identity.clone(),
            clock,
            log: Arc::clone(log),
            partitions,
            table,
            claims: writers.claims.clone(),
            journal: writers.jobs.clone(),
            dispatcher: dispatcher.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            owners,
            position,
        });
        settings.entries.iter().filter(|addr| **addr != identity.addr).for_each(|addr| {
            peers.get_or_open(*addr);
        });
        Self { dispatcher, membership, ownership_manager, peers, owners: owners_rx }
    }
}

impl Entry {
    /// Binds the listeners and starts to serve.
    ///
    /// # Errors
    ///
    /// If a listener cannot be bound or the client of the log cannot be created.
    pub async fn start(settings: EntrySettings, parts: EntryParts) -> Result<Self, StepError> {
        let listener = intake::listen(settings.listen, settings.intake_limits())?;
        let peer_listener = rpc::listen(settings.peer).await?;
        let admin_listener = intake::listen(settings.admin.listen, ADMIN_LIMITS)?;
        let peer_addr = local_addr(&peer_listener, settings.peer)?;
        let identity = EntryIdentity {
            name: settings.name.clone(),
            incarnation: Incarnation::generate(),
            addr: settings.advertise.unwrap_or(peer_addr),
        };
        let log = match parts.log.clone() {
            Some(log) => log,
            None => Arc::new(StoreClient::new(settings.log.clone(), STORE_TIMEOUT)?),
        };
        let writers = Writers::open(&log, &identity, &settings.journal);
        let config = ConfigFollower::spawn(Arc::clone(&log), rand::random());
        let publisher = ConfigPublisher::spawn(
            config.clone(),
            writers.config.clone(),
            PublisherSettings::default(),
        );
        let actors = Actors::spawn(&settings, &identity, &log, &writers, &config);
        let entry = Self {
            addr: local_addr(&listener, settings.listen)?,
            admin_addr: local_addr(&admin_listener, settings.admin.listen)?,
            peer_addr,
            identity,
            dispatcher: actors.dispatcher.clone(),
            ownership_manager: actors.ownership_manager.clone(),
            membership: actors.membership.clone(),
            has_failed: Arc::new(watch::Sender::new(false)),
            config,
            publisher,
            owners: actors.owners.clone(),
            is_draining: Arc::default(),
            grace: Duration::from_millis(settings.grace_ms),
            close_callers: Arc::default(),
            tasks: Arc::default(),
        };
        Ok(entry.serve(settings, parts, actors, (listener, peer_listener, admin_listener)))
    }

    fn serve(
        mut self,
        settings: EntrySettings,
        parts: EntryParts,
        actors: Actors,
        (listener, peer_listener, admin_listener): (TcpListener, TcpListener, TcpListener),
    ) -> Self {
        let (config_tx, config_rx) = watch::channel(Arc::clone(self.config.in_force().config()));
        let jobs = Arc::new(Router {
            entry: self.identity.clone(),
            dispatcher: actors.dispatcher.clone(),
            config: config_rx,
            owners: actors.owners,
            peers: actors.peers,
            partitions: PartitionCount(settings.jobs.partitions),
        });
        let peers = PeerServer {
            identity: self.identity.clone(),
            membership: actors.membership,
            ownership_manager: actors.ownership_manager,
            config: self.config.clone(),
            jobs: Arc::clone(&jobs),
        };
        let limits = ConnectionLimits {
            header_bytes: MAX_HEADER_BYTES,
            idle_ms: settings.limits.idle_ms,
            discarded_bytes: settings.limits.body_bytes.saturating_mul(MAX_DISCARDED_BODIES),
        };
        let caller_server =
            RouterServer::new("callers", listener, settings.intake_limits(), limits);
        let admin_server = RouterServer::new("operators", admin_listener, ADMIN_LIMITS, limits);
        let callers = api::router(CallerState {
            callers: settings.callers,
            limits: settings.limits,
            intake: Arc::clone(caller_server.intake()),
            jobs,
        });
        let admin = admin::router(AdminState {
            entry: self.clone(),
            intake: Arc::clone(admin_server.intake()),
            tokens: settings.admin.tokens,
            metrics: parts.metrics,
            traces: parts.traces,
        });
        let close = Arc::clone(&self.close_callers);
        let tasks = vec![
            self.supervise(peers.serve_peers(peer_listener)),
            self.supervise(caller_server.serve(callers, async move { close.notified().await })),
            self.supervise(admin_server.serve(admin, std::future::pending())),
            self.supervise(follow_config(self.config.clone(), config_tx, actors.dispatcher)),
        ];
        self.tasks = Arc::new(tasks);
        self
    }

    /// Returns the identity that the entry sends to its peers.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Returns the address of the listener for callers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address of the listener for agents and other entries.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the address of the listener for operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Returns whether the entry is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Returns the publisher of configuration patches.
    pub fn publisher(&self) -> &ConfigPublisher {
        &self.publisher
    }

    /// Returns the follower of the configuration.
    pub fn config(&self) -> &ConfigFollower {
        &self.config
    }

    pub(crate) fn dispatcher(&self) -> &ActorRef<Dispatcher> {
        &self.dispatcher
    }

    pub(crate) fn ownership_manager(&self) -> &ActorRef<OwnershipManager> {
        &self.ownership_manager
    }

    pub(crate) fn owners(&self) -> Owners {
        self.owners.borrow().clone()
    }

    /// Returns the owner of a partition as known to this entry, or `None` if it has no owner or
    /// does not exist.
    pub fn owner_of(&self, partition: Partition) -> Option<EntryIdentity> {
        self.owners.borrow().get(usize::from(partition.0)).cloned().flatten()
    }

    /// Returns whether every partition has an owner, a configuration is in force and the entry is
    /// not shutting down.
    pub fn is_ready(&self) -> bool {
        let is_owned = self.owners.borrow().iter().all(Option::is_some);
        let has_config = self.config.in_force().version().0 > 0;
        is_owned && has_config && !self.is_draining()
    }

    /// Hands over the partitions, finishes the requests in progress and stops the entry.  After
    /// `grace_ms` of the settings it stops even if that is not complete.
    pub async fn drain(&self) {
        if self.is_draining.swap(true, Ordering::Relaxed) {
            return self.stopped().await;
        }
        if timeout(self.grace, self.hand_over()).await.is_err() {
            let has_callers = self.tasks.get(1).is_some_and(|callers| !callers.is_finished());
            log::warn!(
                "shutdown not complete after the grace period of {} ms, stopping; partitions not \
                 handed over, requests in progress: {has_callers}",
                self.grace.as_millis()
            );
        }
        let _ = self.dispatcher.stop_gracefully().await;
    }

    /// Releases the partitions and waits for the requests in progress.
    async fn hand_over(&self) {
        let (tx, rx) = oneshot::channel();
        if self.ownership_manager.tell(ReleaseAll { tx }).await.is_ok() {
            let _ = rx.await;
        }
        self.close_callers.notify_one();
        if let Some(callers) = self.tasks.get(1) {
            while !callers.is_finished() {
                sleep(LINGER / 10).await;
            }
        }
        sleep(LINGER).await;
    }

    /// Completes when the entry has stopped after a drain, or when one of its actors has stopped or
    /// one of its servers has panicked.
    pub async fn stopped(&self) {
        let mut has_failed = self.has_failed.subscribe();
        tokio::select! {
            () = self.dispatcher.wait_for_shutdown() => {}
            () = self.ownership_manager.wait_for_shutdown() => {}
            () = self.membership.wait_for_shutdown() => {}
            _ = has_failed.wait_for(|has_failed| *has_failed) => {}
        }
    }

    /// Runs a server of the entry.  A panic in it stops the entry.
    fn supervise(&self, server: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let has_failed = Arc::clone(&self.has_failed);
        tokio::spawn(async move {
            let result = tokio::spawn(server).await;
            if result.is_err_and(|e| e.is_panic()) {
                has_failed.send_replace(true);
            }
        })
    }

    /// Waits until the entry has links to at least `count` upstreams, or has stopped.
    pub async fn wait_for_upstreams(&self, count: usize) {
        const POLL: Duration = Duration::from_millis(5);
        loop {
            match self.dispatcher.ask(ListUpstreams).await {
                Ok(view) if view.upstreams.len() < count => sleep(POLL).await,
                _ => return,
            }
        }
    }

    /// Waits until [`is_ready`](Self::is_ready) holds.
    pub async fn wait_until_ready(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while !self.is_ready() {
            sleep(POLL).await;
        }
    }
}

fn table_settings(settings: &JobSettings) -> TableSettings {
    const MS_PER_S: u64 = 1_000;
    TableSettings::builder()
        .window_ms(settings.window_s * MS_PER_S)
        .clock_skew_ms(settings.clock_skew_ms)
        .max_answer_bytes(settings.answer_bytes)
        .build()
}

async fn follow_config(
    follower: ConfigFollower,
    config: watch::Sender<Arc<SharedConfig>>,
    dispatcher: ActorRef<Dispatcher>,
) {
    let mut in_force = follower.subscribe();
    loop {
        let state = Arc::clone(&in_force.borrow_and_update());
        log::info!("configuration {} is in force", state.version());
        config.send_replace(Arc::clone(state.config()));
        let msg = ConfigChanged(Arc::clone(state.config()));
        if dispatcher.tell(msg).await.is_err() || in_force.changed().await.is_err() {
            return;
        }
    }
}

fn local_addr(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr, StepError> {
    listener.local_addr().map_err(|e| StepError::new("binding", Peer::Address(configured), e))
}
