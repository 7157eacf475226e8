//! HTTP/1.1 connections on one thread, and their end without cutting requests.

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

/// An answer with a body in memory.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Bounds of connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    pub(crate) header_bytes: usize,
    pub(crate) idle_ms: u64,
}

/// Least size of the buffer that the HTTP library takes, bytes.
const LEAST_BUFFER_BYTES: usize = 8_192;
/// Pause after a failed accept, milliseconds. Source: descriptors run out and come back.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Binds a listener.
pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(addr).await.map_err(|e| StepError::new("listening", Peer::Address(addr), e))
}

/// Returns the address that a listener is bound to.
pub(crate) fn local_addr(listener: &TcpListener) -> Result<SocketAddr, StepError> {
    listener.local_addr().map_err(|e| StepError::new("listening", Peer::Local, e))
}

/// Takes connections.
pub(crate) struct HttpServer {
    graceful: GracefulShutdown,
    is_closing: Rc<Cell<bool>>,
}

impl HttpServer {
    /// Creates a server without a listener. While `is_closing` is set, answers ask clients to
    /// open a new connection.
    pub(crate) fn new(is_closing: Rc<Cell<bool>>) -> Self {
        Self { graceful: GracefulShutdown::new(), is_closing }
    }

    /// Serves connections until `end` is ready.
    pub(crate) async fn accept_until<H, F>(
        &self,
        listener: &TcpListener,
        limits: impl Fn() -> ConnectionLimits,
        handle: H,
        end: impl Future<Output = ()>,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Answer> + 'static,
    {
        tokio::pin!(end);
        loop {
            let accepted = tokio::select! {
                () = &mut end => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, limits(), handle.clone()),
                Err(e) => {
                    log::warn!("accepting a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Ends idle connections and waits for those that are answering.
    pub(crate) async fn shutdown(self) {
        self.graceful.shutdown().await;
    }

    fn serve<H, F>(&self, stream: TcpStream, limits: ConnectionLimits, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Answer> + 'static,
    {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("connection ended before it was served: {e}");
            return;
        }
        let is_closing = Rc::clone(&self.is_closing);
        let service = service_fn(move |req| {
            let answer = handle(req);
            let is_closing = Rc::clone(&is_closing);
            async move {
                let mut answer = answer.await;
                if is_closing.get() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, std::convert::Infallible>(answer)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_ms))
            .max_buf_size(limits.header_bytes.max(LEAST_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let conn = self.graceful.watch(conn);
        spawn_local(async move {
            if let Err(e) = conn.await {
                log::debug!("connection ended: {e}");
            }
        });
    }
}
