//! The sending side of a link: a request goes over the live connection, and again over its
//! replacement if the connection is lost before the reply.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use rpc::{
    AgentRpcClient, CancelBatch, Hello, HelloReply, StartedQuery, StartedReport, TaskReply,
    TaskStart,
};
use tarpc::{client::RpcError, context};
use thiserror::Error;
use tokio::{
    sync::{Mutex, watch},
    time::{Duration, Instant, timeout_at},
};

use crate::metric_names;

/// Time without contact after which a connection is probed before work is sent on it.
const IDLE_PROBE_AFTER: Duration = Duration::from_secs(2);
/// Time without contact after which a connection with outstanding requests counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline of an attempt for which its reply is still accepted.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// One connection of a link.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) generation: u64,
    pub(crate) client: AgentRpcClient,
}

/// Sends requests over the live connection of a link.
pub(crate) struct LinkHandle {
    current: watch::Receiver<Option<Connection>>,
    outstanding: AtomicU32,
    /// Milliseconds from `started_at` to the latest reply.
    last_heard_ms: AtomicU64,
    /// Generation of the latest connection that was found closed.
    broken_generation: AtomicU64,
    is_connected: AtomicBool,
    /// Generation of the latest connection that failed a probe while idle.  The lock is held by the
    /// request that sends such a probe.
    failed_probe: Mutex<Option<u64>>,
    started_at: Instant,
}

/// Outcome of a request to run an attempt.
pub(crate) enum RunOutcome {
    Reply {
        reply: TaskReply,
        /// Whether more than one copy of the request was sent.
        is_repeated: bool,
    },
    /// No request was sent.
    NeverSent,
    /// A request was sent and there is no reply; the attempt may have run.
    Unknown(String),
}

/// Why a request has no reply.
#[derive(Debug, Error)]
enum LinkError {
    #[error("no answer before the deadline")]
    Deadline,
    #[error("the link was closed")]
    Closed,
}

/// Counts a request as outstanding until it is dropped.
struct OutstandingGuard<'a>(&'a AtomicU32);

impl<'a> OutstandingGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LinkHandle {
    fn new(current: watch::Receiver<Option<Connection>>) -> Arc<Self> {
        Arc::new(Self {
            current,
            outstanding: AtomicU32::new(0),
            last_heard_ms: AtomicU64::new(0),
            broken_generation: AtomicU64::new(0),
            is_connected: AtomicBool::new(false),
            failed_probe: Mutex::new(None),
            started_at: Instant::now(),
        })
    }

    /// Records that the agent has just replied.
    pub(crate) fn record_contact(&self) {
        self.last_heard_ms.store(self.started_at.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns whether requests are outstanding and the agent has not replied for 500 ms.
    pub(crate) fn is_silent(&self) -> bool {
        self.outstanding.load(Ordering::Relaxed) > 0 && self.time_since_contact() > SILENT_AFTER
    }

    fn time_since_contact(&self) -> Duration {
        let last_heard = Duration::from_millis(self.last_heard_ms.load(Ordering::Relaxed));
        self.started_at.elapsed().saturating_sub(last_heard)
    }

    pub(crate) fn set_connected(&self, is_connected: bool) {
        self.is_connected.store(is_connected, Ordering::Relaxed);
    }

    /// Returns whether the link has to connect or to send a probe.
    pub(crate) fn needs_tick(&self) -> bool {
        let generation = self.current.borrow().as_ref().map_or(0, |live| live.generation);
        let is_connected = self.is_connected.load(Ordering::Relaxed);
        !is_connected || self.is_broken(generation) || self.is_silent()
    }

    /// Returns whether a connection can carry requests.  A connection that was idle for two seconds
    /// is probed first, once for all waiting requests.
    async fn is_usable(&self, connection: &Connection) -> bool {
        if self.time_since_contact() <= IDLE_PROBE_AFTER {
            return true;
        }
        let mut failed = self.failed_probe.lock().await;
        if self.time_since_contact() <= IDLE_PROBE_AFTER {
            return true;
        }
        if *failed == Some(connection.generation) {
            return false;
        }
        metrics::counter!(metric_names::IDLE_PROBES).increment(1);
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let reply = connection.client.inquire(context_until(deadline), Vec::new());
        let has_replied = matches!(timeout_at(deadline, reply).await, Ok(Ok(_)));
        if has_replied {
            self.record_contact();
        } else {
            *failed = Some(connection.generation);
            self.broken_generation.fetch_max(connection.generation, Ordering::Relaxed);
        }
        has_replied
    }

    /// Returns whether the connection of a generation, or a later one, was found closed.
    pub(crate) fn is_broken(&self, generation: u64) -> bool {
        self.broken_generation.load(Ordering::Relaxed) >= generation
    }

    /// Sends an attempt to the agent and waits for its result.  If the request has to be sent
    /// again, it joins the attempt that the agent may have started.
    pub(crate) async fn run(&self, start: TaskStart, deadline: Instant) -> RunOutcome {
        let current = self.current.borrow().clone();
        if let Some(connection) = current
            && !self.is_usable(&connection).await
        {
            return RunOutcome::NeverSent;
        }
        let sends = AtomicU32::new(0);
        let reply = self.call(deadline, |client| {
            if sends.fetch_add(1, Ordering::Relaxed) > 0 {
                metrics::counter!(metric_names::LINK_REPEATS).increment(1);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let timeout_ms = start.timeout_ms.min(remaining.as_millis().max(1) as u64);
            let start = TaskStart { timeout_ms, ..start.clone() };
            let cx = context_until(deadline + REPLY_MARGIN);
            async move { client.run(cx, start).await }
        });
        match (reply.await, sends.load(Ordering::Relaxed)) {
            (Ok(reply), sends) => RunOutcome::Reply { reply, is_repeated: sends > 1 },
            (Err(_), 0) => RunOutcome::NeverSent,
            (Err(e), _) => RunOutcome::Unknown(e.to_string()),
        }
    }

    /// Renews the entry's ownership at the agent over the existing connection.  Returns `None` if
    /// there is no reply within the timeout.
    pub(crate) async fn send_hello(&self, hello: Hello) -> Option<HelloReply> {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let request = |client: AgentRpcClient| {
            let hello = hello.clone();
            async move { client.hello(context_until(deadline), hello).await }
        };
        self.call(deadline, request).await.ok()
    }

    /// Recalls or cancels attempts in one message.
    pub(crate) async fn cancel(&self, batch: CancelBatch) {
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        let request = |client: AgentRpcClient| {
            let batch = batch.clone();
            async move { client.cancel(context_until(deadline), batch).await }
        };
        let _ = self.call(deadline, request).await;
    }

    /// Queries which attempts the agent started for partitions.  Returns `None` if there is no
    /// reply within the timeout.
    pub(crate) async fn started(&self, query: StartedQuery) -> Option<StartedReport> {
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        let request = |client: AgentRpcClient| {
            let query = query.clone();
            async move { client.started(context_until(deadline), query).await }
        };
        self.call(deadline, request).await.ok()
    }

    /// Sends a request over the live connection, and over its replacements until there is a reply.
    async fn call<T, F>(
        &self,
        deadline: Instant,
        request: impl Fn(AgentRpcClient) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let _outstanding = OutstandingGuard::new(&self.outstanding);
        let mut current = self.current.clone();
        loop {
            let connection = wait_connected(&mut current, deadline).await?;
            let generation = connection.generation;
            let reply = tokio::select! {
                reply = request(connection.client) => reply,
                replaced = wait_replaced(&mut current, generation) => {
                    replaced?;
                    continue;
                }
            };
            match reply {
                Ok(reply) => {
                    self.record_contact();
                    return Ok(reply);
                }
                Err(RpcError::DeadlineExceeded) => return Err(LinkError::Deadline),
                Err(_) => self.broken_generation.fetch_max(generation, Ordering::Relaxed),
            };
            let replaced = timeout_at(deadline, wait_replaced(&mut current, generation)).await;
            replaced.map_err(|_| LinkError::Deadline)??;
        }
    }
}

/// The sending handle of a new link, with the sender of its current connection.
pub(crate) struct LinkChannel {
    pub(crate) handle: Arc<LinkHandle>,
    pub(crate) current: watch::Sender<Option<Connection>>,
}

impl LinkChannel {
    pub(crate) fn new() -> Self {
        let (current, current_rx) = watch::channel(None);
        Self { handle: LinkHandle::new(current_rx), current }
    }

    pub(crate) fn handle(&self) -> Arc<LinkHandle> {
        Arc::clone(&self.handle)
    }
}

/// Waits until there is a live connection.
async fn wait_connected(
    current: &mut watch::Receiver<Option<Connection>>,
    deadline: Instant,
) -> Result<Connection, LinkError> {
    if current.has_changed().is_err() {
        return Err(LinkError::Closed);
    }
    let connection = timeout_at(deadline, current.wait_for(Option::is_some)).await;
    let connection = connection.map_err(|_| LinkError::Deadline)?.map_err(|_| LinkError::Closed)?;
    connection.clone().ok_or(LinkError::Closed)
}

/// Completes when the connection of a generation is no longer the live one.
async fn wait_replaced(
    current: &mut watch::Receiver<Option<Connection>>,
    generation: u64,
) -> Result<(), LinkError> {
    let is_other =
        |live: &Option<Connection>| live.as_ref().is_none_or(|live| live.generation != generation);
    current.wait_for(is_other).await.map(drop).map_err(|_| LinkError::Closed)
}

/// Returns the context of a request with a deadline.
pub(crate) fn context_until(deadline: Instant) -> context::Context {
    let mut cx = context::current();
    cx.deadline = deadline.into_std();
    cx
}
