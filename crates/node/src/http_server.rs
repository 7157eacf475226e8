//! HTTP/1.1 server on one thread, with a shutdown that completes the requests in progress.

use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, body::Incoming, header::CONNECTION, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, net::TcpStream, sync::Notify, task::spawn_local};
use types::{Peer, StepError};

use crate::clock;

/// A response with a body in memory.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Size of the read buffer, which bounds the request head, bytes.
    pub(crate) header_bytes: usize,
    /// Longest wait for a complete request head, milliseconds.
    pub(crate) idle_ms: u64,
}

types::plain! {
    /// What has happened on a connection before a request, as an extension of the request. All times
    /// are milliseconds on the process's clock.
    #[derive(Copy, Eq)]
    pub(crate) struct ConnectionActivity {
        /// Number of the connection in the lifetime of the server.
        pub(crate) connection: u64,
        /// Time at which it was accepted.
        pub(crate) accepted_ms: u64,
        /// Time of the last response; `None` before the first one.
        pub(crate) responded_ms: Option<u64>,
    }
}

/// Decides which connections stay open. Connections are identified by
/// [`ConnectionActivity::connection`].
pub(crate) trait ConnectionGate {
    /// Registers an accepted connection. Returns the signal on which it must be closed, or `None` if
    /// it must be closed at once.
    fn open(&self, connection: u64) -> Option<Rc<Notify>>;

    /// Records that a connection has had the head of a request, or a response.
    fn wait(&self, connection: u64);

    /// Removes a connection that has ended.
    fn remove(&self, connection: u64);
}

/// Smallest buffer size that the HTTP library accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Pause after a failed accept, milliseconds. The usual cause is a lack of file descriptors, which
/// passes when other connections are closed.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Binds a listener.
pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(addr).await.map_err(|e| StepError::new("listening", Peer::Address(addr), e))
}

/// Returns the address that a listener is bound to.
pub(crate) fn local_addr(listener: &TcpListener) -> Result<SocketAddr, StepError> {
    listener.local_addr().map_err(|e| StepError::new("listening", Peer::Local, e))
}

/// Accepts and serves HTTP/1.1 connections.
pub(crate) struct HttpServer {
    graceful: GracefulShutdown,
    is_closing: Rc<Cell<bool>>,
    gate: Option<Rc<dyn ConnectionGate>>,
    next_connection: Cell<u64>,
}

impl HttpServer {
    /// Creates a server without a listener. While `is_closing` is set, responses carry
    /// `Connection: close`, so that clients open a new connection for their next request.
    pub(crate) fn new(is_closing: Rc<Cell<bool>>) -> Self {
        let graceful = GracefulShutdown::new();
        Self { graceful, is_closing, gate: None, next_connection: Cell::new(0) }
    }

    /// Creates a server whose connections `gate` limits.
    pub(crate) fn with_gate(is_closing: Rc<Cell<bool>>, gate: Rc<dyn ConnectionGate>) -> Self {
        Self { gate: Some(gate), ..Self::new(is_closing) }
    }

    /// Accepts and serves connections until `stop` is ready. `limits` is evaluated for each
    /// connection. Each request carries the [`ConnectionActivity`] as an extension.
    pub(crate) async fn accept_until<H, F>(
        &self,
        listener: &TcpListener,
        limits: impl Fn() -> ConnectionLimits,
        handle: H,
        stop: impl Future<Output = ()>,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = HttpResponse> + 'static,
    {
        tokio::pin!(stop);
        loop {
            let accepted = tokio::select! {
                () = &mut stop => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, limits(), handle.clone()),
                Err(e) => {
                    log::warn!(
                        "accepting an HTTP connection failed: {e}; retrying in {ACCEPT_PAUSE_MS} ms"
                    );
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Closes idle connections and waits for the requests in progress.
    pub(crate) async fn shutdown(self) {
        self.graceful.shutdown().await;
    }

    fn serve<H, F>(&self, stream: TcpStream, limits: ConnectionLimits, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = HttpResponse> + 'static,
    {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("setting up an HTTP connection failed: {e}; closing it");
            return;
        }
        let is_closing = Rc::clone(&self.is_closing);
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        let gate = self.gate.clone();
        let close = match &gate {
            Some(gate) => gate.open(connection),
            None => Some(Rc::default()),
        };
        let Some(close) = close else { return };
        let activity = Rc::new(Cell::new(ConnectionActivity {
            connection,
            accepted_ms: clock::now_ms(),
            responded_ms: None,
        }));
        let service_gate = gate.clone();
        let service = service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(activity.get());
            let gate = service_gate.clone();
            if let Some(gate) = &gate {
                gate.wait(connection);
            }
            let response = handle(req);
            let is_closing = Rc::clone(&is_closing);
            let activity = Rc::clone(&activity);
            async move {
                let mut response = response.await;
                if is_closing.get() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let responded_ms = Some(clock::now_ms());
                activity.set(ConnectionActivity { responded_ms, ..activity.get() });
                if let Some(gate) = gate {
                    gate.wait(connection);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_ms))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let conn = self.graceful.watch(conn);
        spawn_local(async move {
            tokio::select! {
                result = conn => {
                    if let Err(e) = result {
                        log::debug!("HTTP connection failed: {e}");
                    }
                }
                // The connection is dropped with its buffers and what is unsent.
                () = close.notified() => {}
            }
            if let Some(gate) = gate {
                gate.remove(connection);
            }
        });
    }
}
