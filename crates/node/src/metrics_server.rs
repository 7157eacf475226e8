use std::{net::SocketAddr, time::Duration};

use http_body_util::Full;
use hyper::{Request, Response};
use intake::{ConnectionLimits, RequestBody};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{task::spawn_local, time::sleep};
use types::{Peer, StepError};

use crate::http::{HttpResponse, InternalListener};

/// Period of the recorder's maintenance. At 1,000 answers a second it keeps some 5,000 observations.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(5);
const LIMITS: ConnectionLimits =
    ConnectionLimits { header_bytes: 8_192, idle_ms: 10_000, discarded_bytes: 0 };
/// Most bytes of responses that their clients have not read.
const UNREAD_METRICS_BYTES: usize = 1 << 20;
/// Upper bounds of the latency buckets, seconds, for tasks that run for 50 ms to a few seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Installs the metrics recorder and serves the metrics at `addr`, except requests that `other`
/// answers; does nothing without an address.
pub(crate) fn start(
    addr: Option<SocketAddr>,
    other: impl Fn(&Request<RequestBody>) -> Option<HttpResponse> + Clone + 'static,
) -> Result<(), StepError> {
    let Some(addr) = addr else { return Ok(()) };
    let fail = |e: metrics_exporter_prometheus::BuildError| {
        StepError::new("installing the metrics recorder", Peer::Local, e)
    };
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S).map_err(fail)?;
    let handle = builder.install_recorder().map_err(fail)?;
    // Requests have no bodies, but the text of the metrics is charged while it is not read.
    let listener = InternalListener::bind("metrics", addr, UNREAD_METRICS_BYTES, LIMITS)?;
    spawn_local(maintain(handle.clone()));
    spawn_local(listener.serve(move |req| {
        let response = other(&req);
        let handle = handle.clone();
        async move { response.unwrap_or_else(|| render(&handle)) }
    }));
    Ok(())
}

/// Moves the observations of histograms into their buckets, for ever. The recorder keeps every single
/// one until then, or until the metrics are read.
async fn maintain(handle: PrometheusHandle) {
    loop {
        sleep(MAINTENANCE_PERIOD).await;
        handle.run_upkeep();
    }
}

fn render(handle: &PrometheusHandle) -> HttpResponse {
    Response::new(Full::new(handle.render().into()))
}
