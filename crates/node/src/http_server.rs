//! HTTP/1.1 server on one thread, with a shutdown that completes the requests in progress.

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

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
use tokio::{net::TcpListener, net::TcpStream, task::spawn_local};
use types::{Peer, StepError};

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
}

impl HttpServer {
    /// Creates a server without a listener. While `is_closing` is set, responses carry
    /// `Connection: close`, so that clients open a new connection for their next request.
    pub(crate) fn new(is_closing: Rc<Cell<bool>>) -> Self {
        Self { graceful: GracefulShutdown::new(), is_closing }
    }

    /// Accepts and serves connections until `stop` is ready. `limits` is evaluated for each
    /// connection.
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
        let service = service_fn(move |req| {
            let response = handle(req);
            let is_closing = Rc::clone(&is_closing);
            async move {
                let mut response = response.await;
                if is_closing.get() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, std::convert::Infallible>(response)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_ms))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let conn = self.graceful.watch(conn);
        spawn_local(async move {
            if let Err(e) = conn.await {
                log::debug!("HTTP connection failed: {e}");
            }
        });
    }
}
