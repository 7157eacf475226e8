//! The link to one agent: a multiplexed connection that is probed when it is silent, which means
//! that it carries no data and is not reset, and replaced when the probe fails.  Losing a
//! connection does not mean that the agent is lost.

use std::sync::Arc;

use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use rpc::{AgentIdentity, AgentRpcClient, EntryIdentity, Hello, HelloReply, OwnedPartition};
use tarpc::client;
use tokio::{
    sync::watch,
    time::{Duration, Instant, timeout_at},
};

use crate::{
    link_handle::{Connection, context_until},
    membership::{LinkEvent, LinkEventKind, Membership},
    metric_names,
};

pub(crate) use crate::link_handle::{LinkChannel, LinkHandle, RunOutcome};

const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a connection after which the upstream is reported as down.
const DOWN_AFTER: Duration = Duration::from_millis(1_500);
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);
const MAX_PENDING_REQUESTS: usize = 4_096;

/// Opens, probes and replaces the connections of one link.
pub(crate) struct Link {
    peer: AgentIdentity,
    hello: Hello,
    membership: ActorRef<Membership>,
    handle: Arc<LinkHandle>,
    current: watch::Sender<Option<Connection>>,
    generation: u64,
    /// Time of the first failure since the latest successful connect.
    failing_since: Option<Instant>,
    retry_delay: Duration,
    retry_at: Instant,
    is_down: bool,
}

/// Arguments of a link.
pub(crate) struct LinkArgs {
    pub(crate) channel: LinkChannel,
    pub(crate) peer: AgentIdentity,
    pub(crate) entry: EntryIdentity,
    pub(crate) owned: Vec<OwnedPartition>,
    pub(crate) membership: ActorRef<Membership>,
}

/// Connects, or probes a silent connection, if that is due.
pub(crate) struct Tick;

/// Sends the agent the partitions that the entry owns now.
pub(crate) struct RenewOwned(pub(crate) Vec<OwnedPartition>);

impl Link {
    /// Opens a connection and exchanges hellos.  The connection becomes the current one if the
    /// expected incarnation replied.
    async fn connect(&mut self) -> Option<HelloReply> {
        let transport = rpc::connect(self.peer.addr).await.ok()?;
        let mut cfg = client::Config::default();
        cfg.pending_request_buffer = MAX_PENDING_REQUESTS;
        cfg.max_in_flight_requests = MAX_PENDING_REQUESTS;
        let client = AgentRpcClient::new(cfg, transport).spawn();
        let hello = Hello { is_new_link: true, ..self.hello.clone() };
        let deadline = Instant::now() + HELLO_TIMEOUT;
        let reply = client.hello(context_until(deadline), hello);
        let reply = timeout_at(deadline, reply).await.ok()?.ok()?;
        self.generation += 1;
        if reply.incarnation == self.peer.incarnation {
            let generation = self.generation;
            self.current.send_replace(Some(Connection { generation, client }));
            self.handle.record_contact();
        }
        Some(reply)
    }

    /// Opens a connection and reports the new state of the link to the membership.
    async fn reconnect(&mut self) {
        let was_connected = self.generation > 0;
        match self.connect().await {
            Some(reply) if reply.incarnation != self.peer.incarnation => {
                self.report(LinkEventKind::Restarted).await;
            }
            Some(reply) => {
                if was_connected {
                    metrics::counter!(metric_names::LINK_REPLACED).increment(1);
                }
                self.failing_since = None;
                self.handle.set_connected(true);
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.is_down = false;
                let handle = Arc::clone(&self.handle);
                self.report(LinkEventKind::Up { handle, hello: reply }).await;
            }
            None => self.record_failure().await,
        }
    }

    async fn record_failure(&mut self) {
        let now = Instant::now();
        let since = *self.failing_since.get_or_insert(now);
        self.handle.set_connected(false);
        self.retry_at = now + self.retry_delay.mul_f64(0.5 + rand::random::<f64>());
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        if !self.is_down && now.duration_since(since) >= DOWN_AFTER {
            self.is_down = true;
            self.current.send_replace(None);
            self.report(LinkEventKind::Down).await;
        }
    }

    async fn report(&self, kind: LinkEventKind) {
        let event = LinkEvent {
            upstream: self.peer.upstream.clone(),
            incarnation: self.peer.incarnation,
            kind,
        };
        let _ = self.membership.tell(event).await;
    }

    /// Probes the connection and replaces it if there is no reply.
    async fn probe_or_replace(&mut self) {
        if self.probe().await {
            self.handle.record_contact();
        } else {
            self.reconnect().await;
        }
    }

    async fn probe(&self) -> bool {
        let Some(connection) = self.current.borrow().clone() else {
            return false;
        };
        metrics::counter!(metric_names::LINK_PROBES).increment(1);
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let reply = connection.client.hello(context_until(deadline), self.hello.clone());
        matches!(timeout_at(deadline, reply).await, Ok(Ok(_)))
    }
}

impl Actor for Link {
    type Args = LinkArgs;
    type Error = kameo::error::Infallible;

    async fn on_start(args: LinkArgs, link: ActorRef<Self>) -> Result<Self, Self::Error> {
        let _ = link.tell(Tick).try_send();
        Ok(Self {
            peer: args.peer,
            hello: Hello { entry: args.entry, owned: args.owned, is_new_link: false },
            membership: args.membership,
            handle: args.channel.handle,
            current: args.channel.current,
            generation: 0,
            failing_since: None,
            retry_delay: INITIAL_RETRY_DELAY,
            retry_at: Instant::now(),
            is_down: false,
        })
    }
}

impl Message<Tick> for Link {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let is_connected = self.current.borrow().is_some() && self.failing_since.is_none();
        let is_broken = self.handle.is_broken(self.generation);
        if is_connected && !is_broken {
            let is_silent = self.handle.is_silent();
            if is_silent {
                self.probe_or_replace().await;
            }
            return;
        }
        if Instant::now() >= self.retry_at {
            self.reconnect().await;
        }
    }
}

impl Message<RenewOwned> for Link {
    type Reply = ();

    async fn handle(&mut self, msg: RenewOwned, _: &mut Context<Self, ()>) {
        self.hello.owned = msg.0;
        if self.current.borrow().is_some() {
            self.probe_or_replace().await;
        }
    }
}
