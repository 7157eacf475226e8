//! HTTP servers of the process. All run on its one thread.

use std::{
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use intake::{
    ConnectionLimits, HttpServer, Intake, IntakeEvent, IntakeLimits, RequestBody, accept,
};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};
use types::StepError;

use crate::clock;

/// A response with a body in memory.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Period in which an internal listener closes connections whose clients do not read.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(1_000);

/// Accepts and serves connections until `stop` is ready. `limits` is evaluated for each connection.
pub(crate) async fn accept_until<H, F>(
    server: &HttpServer,
    listener: &TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    handle: H,
    stop: impl Future<Output = ()>,
) where
    H: Fn(Request<RequestBody>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let mut stop = pin!(stop);
    loop {
        let stream = tokio::select! {
            () = &mut stop => return,
            stream = accept(listener) => stream,
        };
        if let Some(connection) = server.serve(stream, limits(), handle.clone()) {
            spawn_local(connection);
        }
    }
}

/// A listener for a few processes of the deployment: operators' tools, probes, the collector of metrics
/// or the upstream on the same machine.
pub(crate) struct InternalListener {
    listener: TcpListener,
    /// Limits the listener's connections and requests.
    pub(crate) intake: Arc<Intake>,
    limits: ConnectionLimits,
}

impl InternalListener {
    /// Binds a listener with this name, whose request bodies may have `request_bytes` together.
    pub(crate) fn bind(
        name: &'static str,
        addr: SocketAddr,
        request_bytes: usize,
        limits: ConnectionLimits,
    ) -> Result<Self, StepError> {
        let intake_limits = IntakeLimits::internal(request_bytes);
        let listener = intake::listen(addr, intake_limits)?;
        Ok(Self { listener, intake: Intake::new(name, intake_limits, clock::now_ms), limits })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) fn addr(&self) -> Result<SocketAddr, StepError> {
        intake::local_addr(&self.listener)
    }

    /// Serves connections, for ever.
    pub(crate) async fn serve<H, F>(self, handle: H)
    where
        H: Fn(Request<RequestBody>) -> F + Clone + 'static,
        F: Future<Output = HttpResponse> + 'static,
    {
        let server = HttpServer::new(Arc::clone(&self.intake), Arc::new(AtomicBool::new(false)));
        let maintain = async {
            loop {
                sleep(MAINTENANCE_PERIOD).await;
                for event in self.intake.tick(self.limits.idle_ms) {
                    if let IntakeEvent::Full(limit, usage) = event {
                        let name = self.intake.listener();
                        log::warn!(
                            "the listener for {name} is at its limit of {limit:?}: {usage:?}"
                        );
                    }
                }
            }
        };
        accept_until(&server, &self.listener, || self.limits, handle, maintain).await;
    }
}
