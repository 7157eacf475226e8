//! Serves an `axum` router within the limits of an intake.

use std::{
    future::Future,
    pin::pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use axum::{Router, body::Body};
use hyper::{Request, service::Service};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;

use crate::{
    ConnectionActivity, ConnectionLimits, HttpServer, Intake, IntakeEvent, IntakeLimits,
    RequestBody, accept,
};

/// Period of closing connections whose clients do not read.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(1_000);

/// Serves a router on one listener.
pub struct RouterServer {
    listener: TcpListener,
    intake: Arc<Intake>,
    limits: ConnectionLimits,
}

impl RouterServer {
    /// Creates a server for a listener that [`listen`](crate::listen) has bound with the same limits.
    /// `name` is that of the listener in metrics and logs.
    pub fn new(
        name: &'static str,
        listener: TcpListener,
        intake_limits: IntakeLimits,
        limits: ConnectionLimits,
    ) -> Self {
        Self { listener, intake: Intake::new(name, intake_limits, now_ms), limits }
    }

    /// Returns the intake, in which handlers read bodies.
    pub fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }

    /// Serves until `close` is ready, and then until the requests in progress are answered.
    pub async fn serve(self, router: Router, close: impl Future<Output = ()>) {
        let is_closing = Arc::new(AtomicBool::new(false));
        let server = HttpServer::new(Arc::clone(&self.intake), Arc::clone(&is_closing));
        let service = TowerToHyperService::new(router);
        let intake = Arc::clone(&self.intake);
        let handle = move |req: Request<RequestBody>| {
            // Without a body, the request is complete.
            if let Some(activity) = req.extensions().get::<ConnectionActivity>()
                && hyper::body::Body::is_end_stream(req.body())
            {
                intake.serve(activity.connection);
            }
            let response = service.call(req.map(Body::new));
            async move { response.await.unwrap_or_else(|never| match never {}) }
        };
        let mut close = pin!(close);
        let mut maintenance = tokio::time::interval(MAINTENANCE_PERIOD);
        loop {
            let stream = tokio::select! {
                () = &mut close => break,
                _ = maintenance.tick() => {
                    self.maintain();
                    continue;
                }
                stream = accept(&self.listener) => stream,
            };
            if let Some(connection) = server.serve(stream, self.limits, handle.clone()) {
                tokio::spawn(connection);
            }
        }
        is_closing.store(true, Ordering::Relaxed);
        let mut shutdown = pin!(server.shutdown());
        loop {
            tokio::select! {
                () = &mut shutdown => return,
                _ = maintenance.tick() => self.maintain(),
            }
        }
    }

    fn maintain(&self) {
        for event in self.intake.tick(self.limits.idle_ms) {
            let name = self.intake.listener();
            match event {
                IntakeEvent::Full(limit, usage) => log::warn!(
                    "the listener for {name} is at its limit of {limit:?}, with {usage:?}; refusing \
                     or closing what has waited longest"
                ),
                IntakeEvent::Free(counts) => {
                    log::info!("the listener for {name} is below its limits again: {counts:?}");
                }
            }
        }
    }
}

/// Returns milliseconds on a monotonic clock.
fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
