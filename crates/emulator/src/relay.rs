//! A TCP relay that delays, holds up, throttles or resets the connections through it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};
use types::{Peer, StepError};

/// Most bytes that are read at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Most chunks of one direction that are under way; the sender waits when there are more.
const MAX_CHUNKS: usize = 4_096;

types::plain! {
    /// Treatment of one direction of a connection.
    #[derive(Copy, Eq, Default)]
    pub struct PathFault {
        /// Time that the bytes are under way, milliseconds.
        pub delay_ms: u64,
        /// Whether bytes, and the end of the connection, wait until this fault is cleared.
        pub is_held: bool,
        /// Time between what was held up, milliseconds: after a loss, a sender has one segment under
        /// way until that is acknowledged.
        pub gap_ms: u64,
        /// Bandwidth, bytes a second; unlimited without it.
        pub bytes_per_s: Option<u32>,
    }

    /// Treatment of a connection.
    #[derive(Copy, Eq, Default)]
    pub struct RelayFaults {
        /// The direction away from the side that opened the connection.
        pub out: PathFault,
        /// The direction towards that side.
        pub back: PathFault,
    }
}

/// A relay in front of one address.
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

struct Shared {
    target: watch::Sender<Option<SocketAddr>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Faults of new connections.
    faults: RelayFaults,
    connections: Vec<watch::Sender<Condition>>,
}

/// Condition of one connection.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    faults: RelayFaults,
    is_reset: bool,
}

impl Relay {
    /// Starts a relay on a free port. Connections wait until [`Relay::set_target`] is called.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start() -> Result<Self, StepError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let fail = |e| StepError::new("listening", Peer::Address(any_port), e);
        let listener = TcpListener::bind(any_port).await.map_err(fail)?;
        let addr = listener.local_addr().map_err(fail)?;
        let shared = Arc::new(Shared { target: watch::Sender::new(None), state: Mutex::default() });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { addr, shared, accepting })
    }

    /// Returns the address at which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the address that new connections lead to.
    pub fn set_target(&self, addr: SocketAddr) {
        self.shared.target.send_replace(Some(addr));
    }

    /// Sets the faults of all connections, of now and later.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.shared.lock().faults = faults;
        self.set_open_connections(faults, |_| true);
    }

    /// Sets the faults of the open connections that `is_selected` selects by their position.
    pub fn set_open_connections(
        &self,
        faults: RelayFaults,
        mut is_selected: impl FnMut(usize) -> bool,
    ) {
        let state = self.shared.lock();
        for (i, connection) in state.connections.iter().enumerate() {
            if is_selected(i) {
                connection.send_modify(|condition| condition.faults = faults);
            }
        }
    }

    /// Resets the open connections that `is_selected` selects by their position; the bytes under
    /// way are lost.
    pub fn reset(&self, mut is_selected: impl FnMut(usize) -> bool) {
        let state = self.shared.lock();
        for (i, connection) in state.connections.iter().enumerate() {
            if is_selected(i) {
                connection.send_modify(|condition| condition.is_reset = true);
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset(|_| true);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let condition = {
            let mut state = shared.lock();
            state.connections.retain(|connection| !connection.is_closed());
            let (tx, rx) = watch::channel(Condition { faults: state.faults, is_reset: false });
            state.connections.push(tx);
            rx
        };
        tokio::spawn(relay(stream, shared.target.subscribe(), condition));
    }
}

/// Relays one connection until both directions have ended or it is reset.
async fn relay(
    mut from: TcpStream,
    mut target: watch::Receiver<Option<SocketAddr>>,
    condition: watch::Receiver<Condition>,
) {
    let Ok(Some(addr)) = target.wait_for(Option::is_some).await.map(|addr| *addr) else { return };
    let Ok(mut to) = TcpStream::connect(addr).await else { return };
    if from.set_nodelay(true).and(to.set_nodelay(true)).is_err() {
        return;
    }
    let mut reset = condition.clone();
    let is_reset = {
        let (from_rx, from_tx) = from.split();
        let (to_rx, to_tx) = to.split();
        let relayed = async {
            tokio::join!(
                forward(from_rx, to_tx, condition.clone(), |faults| faults.out),
                forward(to_rx, from_tx, condition.clone(), |faults| faults.back),
            )
        };
        tokio::select! {
            _ = relayed => false,
            _ = reset.wait_for(|condition| condition.is_reset) => true,
        }
    };
    if is_reset {
        // A failure only turns the reset into an ordinary end.
        let _ = from.set_zero_linger().and(to.set_zero_linger());
    }
}

/// Forwards the bytes of one direction, and its end, as `path` says.
async fn forward(
    mut rx: ReadHalf<'_>,
    mut tx: WriteHalf<'_>,
    condition: watch::Receiver<Condition>,
    path: impl Fn(&RelayFaults) -> PathFault,
) {
    let (chunks, mut under_way) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS);
    let current = {
        let condition = condition.clone();
        move || path(&condition.borrow().faults)
    };
    let read = async {
        // Dropped at the end, which ends the other half.
        let chunks = chunks;
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let length = rx.read(&mut buf).await.unwrap_or(0);
            let due = Instant::now() + Duration::from_millis(current().delay_ms);
            let chunk = (due, buf[..length].to_vec());
            if chunks.send(chunk).await.is_err() || length == 0 {
                return;
            }
        }
    };
    let write = async {
        let mut condition = condition;
        let (mut released, mut gap) = (None, Duration::ZERO);
        while let Some((due, bytes)) = under_way.recv().await {
            sleep_until(due).await;
            if released.is_some_and(|at| due < at) {
                sleep(gap).await;
            }
            while current().is_held {
                gap = Duration::from_millis(current().gap_ms);
                if condition.changed().await.is_err() {
                    return;
                }
                released = Some(Instant::now());
            }
            let is_written = if bytes.is_empty() {
                tx.shutdown().await.is_ok()
            } else {
                tx.write_all(&bytes).await.is_ok()
            };
            if !is_written || bytes.is_empty() {
                return;
            }
            if let Some(rate) = current().bytes_per_s {
                let ms = bytes.len() as u64 * 1_000 / u64::from(rate.max(1));
                sleep(Duration::from_millis(ms)).await;
            }
        }
    };
    // The sender notices that the receiver has gone when the write half ends.
    tokio::select! {
        () = write => {}
        () = async { read.await; std::future::pending().await } => {}
    }
}
