use std::{cell::Cell, net::SocketAddr, rc::Rc};

use http_body_util::Full;
use hyper::Response;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::task::spawn_local;
use types::{Peer, StepError};

use crate::http_server::{ConnectionLimits, HttpServer, listen};

const LIMITS: ConnectionLimits = ConnectionLimits { header_bytes: 8_192, idle_ms: 10_000 };
/// Upper bounds of the latency buckets, seconds, for tasks that run for 50 ms to a few seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Installs the metrics recorder and serves the metrics at `addr`; does nothing without an address.
pub(crate) async fn start(addr: Option<SocketAddr>) -> Result<(), StepError> {
    let Some(addr) = addr else { return Ok(()) };
    let fail = |e: metrics_exporter_prometheus::BuildError| {
        StepError::new("installing the metrics recorder", Peer::Local, e)
    };
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S).map_err(fail)?;
    let handle = builder.install_recorder().map_err(fail)?;
    let listener = listen(addr).await?;
    spawn_local(async move {
        let server = HttpServer::new(Rc::new(Cell::new(false)));
        let handler = move |_req| render(handle.clone());
        server.accept_until(&listener, || LIMITS, handler, std::future::pending()).await;
    });
    Ok(())
}

async fn render(handle: PrometheusHandle) -> Response<Full<bytes::Bytes>> {
    Response::new(Full::new(handle.render().into()))
}
