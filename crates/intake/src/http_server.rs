//! HTTP/1.1 connections within the limits of an intake, with a shutdown that completes the requests in
//! progress.

use std::{
    error::Error,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use thiserror::Error;
use tokio::net::TcpStream;

use crate::{Intake, RequestBody};

/// Smallest buffer size that the HTTP library accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// A response was ready, but there is no memory to send it.
#[derive(Debug, Error)]
#[error("the byte budget for unread responses is exhausted")]
struct UnsentResponse;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Size of the read buffer, which bounds the request head, bytes.
    pub header_bytes: usize,
    /// Longest wait for a complete request head, milliseconds.
    pub idle_ms: u64,
    /// Most bytes of a body that is not used that are read and discarded, so that the client gets the
    /// response.
    pub discarded_bytes: usize,
}

types::plain! {
    /// What has happened on a connection before a request, as an extension of the request. All times
    /// are milliseconds on the clock of the intake.
    #[derive(Copy, Eq)]
    pub struct ConnectionActivity {
        /// Number of the connection in the lifetime of the intake.
        pub connection: u64,
        /// Time at which it was accepted.
        pub accepted_ms: u64,
        /// Time of the last response; `None` before the first one.
        pub responded_ms: Option<u64>,
    }
}

/// Serves HTTP/1.1 connections.
pub struct HttpServer {
    graceful: GracefulShutdown,
    is_closing: Arc<AtomicBool>,
    intake: Arc<Intake>,
}

impl HttpServer {
    /// Creates a server whose connections `intake` limits. While `is_closing` is set, responses carry
    /// `Connection: close`, so that clients open a new connection for their next request.
    pub fn new(intake: Arc<Intake>, is_closing: Arc<AtomicBool>) -> Self {
        Self { graceful: GracefulShutdown::new(), is_closing, intake }
    }

    /// Returns a future that serves a connection until its end, or `None` if the connection exceeds the
    /// limits and is closed. Each request carries the [`ConnectionActivity`] as an extension.
    pub fn serve<H, F, B>(
        &self,
        stream: TcpStream,
        limits: ConnectionLimits,
        handle: H,
    ) -> Option<impl Future<Output = ()> + use<H, F, B>>
    where
        H: Fn(Request<RequestBody>) -> F,
        F: Future<Output = Response<B>>,
        B: Body<Data = Bytes> + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("setting up an HTTP connection failed: {e}; closing it");
            return None;
        }
        let (connection, close) = self.intake.open()?;
        let open = OpenConnection { intake: Arc::clone(&self.intake), connection };
        let is_closing = Arc::clone(&self.is_closing);
        let accepted_ms = self.intake.now_ms();
        let intake = Arc::clone(&self.intake);
        // 0 before the first response.
        let responded_ms = Arc::new(AtomicU64::new(0));
        let service = service_fn(move |req: Request<Incoming>| {
            let mut req = req.map(|body| RequestBody::new(body, limits.discarded_bytes));
            let last_ms = responded_ms.load(Ordering::Relaxed);
            let last_ms = (last_ms > 0).then_some(last_ms);
            let activity = ConnectionActivity { connection, accepted_ms, responded_ms: last_ms };
            req.extensions_mut().insert(activity);
            intake.begin_request(connection);
            let response = handle(req);
            let (is_closing, intake) = (Arc::clone(&is_closing), Arc::clone(&intake));
            let responded_ms = Arc::clone(&responded_ms);
            async move {
                let mut response = response.await;
                if !intake.begin_response(connection, response_bytes(&response)) {
                    // The request may have run, so the connection ends without a refusal.
                    return Err(UnsentResponse);
                }
                if is_closing.load(Ordering::Relaxed) {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                responded_ms.store(intake.now_ms().max(1), Ordering::Relaxed);
                Ok::<_, UnsentResponse>(response)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_ms))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let conn = self.graceful.watch(conn);
        Some(async move {
            let _open = open;
            tokio::select! {
                result = conn => {
                    if let Err(e) = result {
                        log::debug!("HTTP connection failed: {e}");
                    }
                }
                // The connection is dropped with its buffers and what is unsent.
                () = close.notified() => {}
            }
        })
    }

    /// Closes idle connections and waits for the requests in progress.
    pub async fn shutdown(self) {
        self.graceful.shutdown().await;
    }
}

/// Removes the connection from the intake when it has ended.
struct OpenConnection {
    intake: Arc<Intake>,
    connection: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.intake.remove(self.connection);
    }
}

fn response_bytes<B: Body>(response: &Response<B>) -> usize {
    usize::try_from(response.body().size_hint().lower()).unwrap_or(usize::MAX)
}
