//! Links to the other entries, over which they are probed, jobs are forwarded and configurations
//! are fetched.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use indexmap::IndexMap;
use journal::ConfigFollower;
use kameo::actor::ActorRef;
use rpc::{EntryIdentity, EntryRpcClient, ProbeReply};
use services::SharedConfig;
use tarpc::{client, context};
use tokio::{
    sync::watch,
    time::{Duration, Instant, sleep, timeout},
};

use crate::{
    membership::{Announce, Membership},
    ownership::{OwnershipManager, PeerHeard},
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
const MAX_PENDING_REQUESTS: usize = 16_384;

/// One connection to another entry.
#[derive(Clone)]
pub(crate) struct PeerConnection {
    generation: u64,
    pub(crate) client: EntryRpcClient,
}

/// The link to one other entry.
#[derive(Clone)]
pub(crate) struct PeerHandle {
    current: watch::Receiver<Option<PeerConnection>>,
}

impl PeerHandle {
    /// Returns the live connection, waiting for one until a deadline.
    pub(crate) async fn connection(&self, deadline: Instant) -> Option<PeerConnection> {
        let mut current = self.current.clone();
        let found = tokio::time::timeout_at(deadline, current.wait_for(Option::is_some)).await;
        found.ok()?.ok()?.clone()
    }

    /// Completes when a connection is no longer the live one.
    pub(crate) async fn replaced(&self, connection: &PeerConnection) {
        let mut current = self.current.clone();
        let is_other = |live: &Option<PeerConnection>| {
            live.as_ref().is_none_or(|live| live.generation != connection.generation)
        };
        let _ = current.wait_for(is_other).await;
    }
}

/// Links to the other entries by address.
#[derive(Clone)]
pub(crate) struct PeerClients {
    shared: Arc<Shared>,
}

struct Shared {
    entry: EntryIdentity,
    config: ConfigFollower,
    membership: ActorRef<Membership>,
    has_members: AtomicBool,
    ownership_manager: OnceLock<ActorRef<OwnershipManager>>,
    handles: Mutex<IndexMap<SocketAddr, PeerHandle>>,
}

impl PeerClients {
    pub(crate) fn new(
        entry: EntryIdentity,
        config: ConfigFollower,
        membership: ActorRef<Membership>,
    ) -> Self {
        let shared = Shared {
            entry,
            config,
            membership,
            has_members: AtomicBool::new(false),
            ownership_manager: OnceLock::new(),
            handles: Mutex::new(IndexMap::new()),
        };
        Self { shared: Arc::new(shared) }
    }

    pub(crate) fn set_ownership_manager(&self, ownership_manager: ActorRef<OwnershipManager>) {
        let _ = self.shared.ownership_manager.set(ownership_manager);
    }

    fn handles(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, PeerHandle>> {
        self.shared.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the link to the entry at an address, opening it if there is none.
    pub(crate) fn get_or_open(&self, addr: SocketAddr) -> PeerHandle {
        let mut handles = self.handles();
        if let Some(handle) = handles.get(&addr) {
            return handle.clone();
        }
        let (tx, rx) = watch::channel(None);
        let handle = PeerHandle { current: rx };
        handles.insert(addr, handle.clone());
        tokio::spawn(Arc::clone(&self.shared).maintain_link(addr, tx));
        handle
    }
}

impl Shared {
    /// Probes the entry at an address, and reconnects when it does not reply, until the ownership
    /// manager has stopped.
    async fn maintain_link(
        self: Arc<Self>,
        addr: SocketAddr,
        current: watch::Sender<Option<PeerConnection>>,
    ) {
        let mut retry_delay = PROBE_INTERVAL;
        let mut generation = 0;
        loop {
            if self
                .ownership_manager
                .get()
                .is_some_and(|ownership_manager| !ownership_manager.is_alive())
            {
                return;
            }
            let live = current.borrow().clone();
            let has_replied = match live {
                Some(live) if self.probe(&live.client).await => true,
                _ => {
                    generation += 1;
                    let connection = self.open(addr, generation).await;
                    let is_open = connection.is_some();
                    current.send_replace(connection);
                    is_open
                }
            };
            retry_delay =
                if has_replied { PROBE_INTERVAL } else { (retry_delay * 2).min(MAX_RETRY_DELAY) };
            let delay = if has_replied { PROBE_INTERVAL } else { retry_delay.mul_f64(0.5) };
            sleep(delay.mul_f64(0.9 + 0.2 * rand::random::<f64>())).await;
        }
    }

    /// Opens a connection and probes it.  Returns `None` if there is no reply.
    async fn open(&self, addr: SocketAddr, generation: u64) -> Option<PeerConnection> {
        let client = connect(addr).await?;
        let has_replied = self.probe(&client).await;
        has_replied.then_some(PeerConnection { generation, client })
    }

    /// Probes an entry, processes its reply and returns whether there was one.
    async fn probe(&self, client: &EntryRpcClient) -> bool {
        let reply = client.probe(context_within(PROBE_TIMEOUT), self.entry.clone());
        let Ok(Ok(reply)) = timeout(PROBE_TIMEOUT, reply).await else {
            return false;
        };
        self.adopt_config(client, &reply).await;
        if reply.entry != self.entry && !self.has_members.load(Ordering::Relaxed) {
            self.fetch_members(client).await;
        }
        if reply.entry != self.entry
            && let Some(ownership_manager) = self.ownership_manager.get()
        {
            let _ = ownership_manager.tell(PeerHeard { reply }).await;
        }
        true
    }

    /// Fetches the upstreams that another entry knows, once, so that an entry that starts does not
    /// have to wait until each agent has announced itself.
    async fn fetch_members(&self, client: &EntryRpcClient) {
        let Ok(report) = client.members(context_within(MEMBERS_TIMEOUT)).await else { return };
        if report.announcements.is_empty() || self.has_members.swap(true, Ordering::Relaxed) {
            return;
        }
        for announcement in report.announcements {
            let _ = self.membership.tell(Announce(announcement)).await;
        }
    }

    /// Adopts a newer configuration from a peer while the log cannot be read.
    async fn adopt_config(&self, client: &EntryRpcClient, reply: &ProbeReply) {
        let is_behind = reply.version > self.config.in_force().version();
        if !is_behind || self.config.is_available() {
            return;
        }
        let Ok(peer) = client.config(context_within(PROBE_TIMEOUT)).await else {
            return;
        };
        let parsed: Result<SharedConfig, _> = serde_json::from_str(&peer.config);
        match parsed {
            Ok(config) => {
                if let Ok(true) = self.config.adopt(peer.version, Arc::new(config)) {
                    log::info!("configuration {} adopted from {}", peer.version, reply.entry.name);
                }
            }
            Err(e) => {
                log::warn!("cannot parse the configuration of entry {}: {e}", reply.entry.name)
            }
        }
    }
}

async fn connect(addr: SocketAddr) -> Option<EntryRpcClient> {
    let transport = rpc::connect(addr).await.ok()?;
    let mut cfg = client::Config::default();
    cfg.pending_request_buffer = MAX_PENDING_REQUESTS;
    cfg.max_in_flight_requests = MAX_PENDING_REQUESTS;
    Some(EntryRpcClient::new(cfg, transport).spawn())
}

fn context_within(within: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = (Instant::now() + within).into_std();
    cx
}
