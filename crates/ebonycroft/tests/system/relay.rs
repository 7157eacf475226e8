//! A TCP relay between two processes that can delay, hold, half-close or cut its connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

use crate::support::loopback;

const BUFFER_BYTES: usize = 64 * 1024;

/// Treatment of one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Bytes are forwarded at once.
    Pass,
    /// Bytes are forwarded after a delay.
    Delay(Duration),
    /// Bytes are buffered until another treatment is set.
    Hold,
    /// The direction is closed.
    Close,
}

/// Treatment of a connection: `out` is the direction from the side that opened it, `back` the
/// opposite one. `is_cut` closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Condition {
    pub(crate) out: Flow,
    pub(crate) back: Flow,
    pub(crate) is_cut: bool,
}

impl Condition {
    pub(crate) const PASS: Self = Self { out: Flow::Pass, back: Flow::Pass, is_cut: false };
    pub(crate) const HOLD: Self = Self { out: Flow::Hold, back: Flow::Hold, is_cut: false };
    pub(crate) const CUT: Self = Self { is_cut: true, ..Self::PASS };
}

/// A relay in front of one process.
pub(crate) struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

struct Shared {
    target: watch::Sender<Option<SocketAddr>>,
    state: Mutex<State>,
    bytes: AtomicUsize,
}

/// Conditions of all connections that were opened, and that of new ones.
struct State {
    open: Vec<watch::Sender<Condition>>,
    new_condition: Condition,
}

impl Relay {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Mutex::new(State { open: Vec::new(), new_condition: Condition::PASS });
        let shared = Arc::new(Shared {
            target: watch::Sender::new(None),
            state,
            bytes: AtomicUsize::new(0),
        });
        let accepting = tokio::spawn(Arc::clone(&shared).accept(listener));
        Self { addr, shared, accepting }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the process that new connections lead to. Until it is set, they are accepted and wait.
    pub(crate) fn set_target(&self, addr: SocketAddr) {
        self.shared.target.send_replace(Some(addr));
    }

    /// Sets the condition of the connections that are open.
    pub(crate) fn set_open_connections(&self, condition: Condition) {
        let state = self.shared.state();
        state.open.iter().for_each(|open| {
            open.send_replace(condition);
        });
    }

    /// Sets the condition of connections that are opened from now on.
    pub(crate) fn set_new_connections(&self, condition: Condition) {
        self.shared.state().new_condition = condition;
    }

    /// Returns the number of bytes that were read from both sides of all connections.
    pub(crate) fn bytes(&self) -> usize {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were opened, including closed ones.
    pub(crate) fn accepted(&self) -> usize {
        self.shared.state().open.len()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let condition = {
                let mut state = self.state();
                let (tx, rx) = watch::channel(state.new_condition);
                state.open.push(tx);
                rx
            };
            tokio::spawn(Arc::clone(&self).relay(stream, condition));
        }
    }

    fn forwarder(
        self: &Arc<Self>,
        rx: OwnedReadHalf,
        tx: OwnedWriteHalf,
        condition: &watch::Receiver<Condition>,
    ) -> Forwarder {
        let condition = condition.clone();
        Forwarder { rx, tx, condition, shared: Arc::clone(self), buffered: Vec::new() }
    }

    async fn relay(self: Arc<Self>, from: TcpStream, condition: watch::Receiver<Condition>) {
        let mut target = self.target.subscribe();
        let Ok(Some(addr)) = target.wait_for(Option::is_some).await.map(|addr| *addr) else {
            return;
        };
        let Ok(to) = TcpStream::connect(addr).await else { return };
        let (from_rx, from_tx) = from.into_split();
        let (to_rx, to_tx) = to.into_split();
        let mut cut = condition.clone();
        let relayed = async {
            tokio::join!(
                self.forwarder(from_rx, to_tx, &condition).run(|c| c.out),
                self.forwarder(to_rx, from_tx, &condition).run(|c| c.back),
            )
        };
        tokio::select! {
            _ = relayed => {}
            _ = cut.wait_for(|condition| condition.is_cut) => {}
        }
    }
}

/// Forwarder of one direction of a connection.
struct Forwarder {
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    condition: watch::Receiver<Condition>,
    shared: Arc<Shared>,
    buffered: Vec<u8>,
}

impl Forwarder {
    /// Forwards bytes until the source or the target closes or `flow` says [`Flow::Close`].
    async fn run(mut self, flow: impl Fn(&Condition) -> Flow) {
        let mut buf = vec![0; BUFFER_BYTES];
        let mut is_closed = false;
        loop {
            let now = flow(&self.condition.borrow_and_update());
            is_closed |= now == Flow::Close;
            if let Flow::Delay(time) = now {
                tokio::time::sleep(time).await;
            }
            if now != Flow::Hold && self.forward(is_closed).await.is_err() || is_closed {
                return;
            }
            let read = tokio::select! {
                read = self.rx.read(&mut buf) => read.unwrap_or(0),
                changed = self.condition.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
            };
            is_closed = read == 0;
            self.shared.bytes.fetch_add(read, Ordering::Relaxed);
            self.buffered.extend_from_slice(&buf[..read]);
        }
    }

    /// Writes the buffered bytes to the target, then shuts the direction down if `is_closed`.
    async fn forward(&mut self, is_closed: bool) -> std::io::Result<()> {
        self.tx.write_all(&self.buffered).await?;
        self.buffered.clear();
        if is_closed { self.tx.shutdown().await } else { Ok(()) }
    }
}
