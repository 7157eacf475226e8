//! HTTP routes of the admin listener: liveness, readiness, metrics, traces and drain.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::State,
    http::{HeaderMap, StatusCode, header},
    routing::{MethodRouter, get, post},
};
use metrics_exporter_prometheus::PrometheusHandle;
use settings::{TokenDigest, bearer_digest};
use telemetry::{SpanView, Traces};
use types::Route;

use crate::agent::Agent;

/// State shared by the handlers.
pub(crate) struct AdminState {
    pub(crate) agent: Agent,
    pub(crate) tokens: Vec<TokenDigest>,
    pub(crate) metrics: Option<PrometheusHandle>,
    pub(crate) traces: Option<Traces>,
}

types::wire! {
    /// Response body of the drain route.
    pub(crate) struct DrainBody {
        /// Always `draining`.
        pub(crate) status: String,
    }

    /// Response body of the traces route.
    pub(crate) struct SpansBody {
        /// Finished spans, oldest first.
        pub(crate) spans: Vec<SpanView>,
    }
}

types::plain! {
    /// A route of the admin listener.
    #[derive(Copy, Eq)]
    pub(crate) enum AdminRoute {
        Live,
        Ready,
        Metrics,
        Traces,
        Drain,
    }
}

impl AdminRoute {
    pub(crate) const ALL: [Self; 5] =
        [Self::Live, Self::Ready, Self::Metrics, Self::Traces, Self::Drain];

    pub(crate) fn route(self) -> Route {
        match self {
            Self::Live => Route::get("/livez"),
            Self::Ready => Route::get("/readyz"),
            Self::Metrics => Route::get("/metrics"),
            Self::Traces => Route::get("/v1/traces"),
            Self::Drain => Route::post("/v1/drain"),
        }
    }

    fn handler(self) -> MethodRouter<Arc<AdminState>> {
        match self {
            Self::Live => get(|| async { "ok" }),
            Self::Ready => get(ready),
            Self::Metrics => get(render_metrics),
            Self::Traces => get(traces),
            Self::Drain => post(drain),
        }
    }
}

pub(crate) fn router(state: AdminState) -> Router {
    AdminRoute::ALL
        .into_iter()
        .fold(Router::new(), |router, route| router.route(route.route().path, route.handler()))
        .with_state(Arc::new(state))
}

async fn ready(State(state): State<Arc<AdminState>>) -> (StatusCode, &'static str) {
    if state.agent.is_leaving() {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving")
    } else {
        (StatusCode::OK, "ok")
    }
}

async fn render_metrics(State(state): State<Arc<AdminState>>) -> String {
    state.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default()
}

fn authenticate(state: &AdminState, headers: &HeaderMap) -> Result<(), StatusCode> {
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(bearer_digest)
        .ok_or(StatusCode::UNAUTHORIZED)?;
    let is_known = state.tokens.iter().filter(|token| token.matches(&presented)).count() > 0;
    if is_known { Ok(()) } else { Err(StatusCode::UNAUTHORIZED) }
}

async fn traces(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Json<SpansBody>, StatusCode> {
    authenticate(&state, &headers)?;
    let spans = state.traces.as_ref().map(Traces::recent_spans).unwrap_or_default();
    Ok(Json(SpansBody { spans }))
}

async fn drain(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Json<DrainBody>, StatusCode> {
    authenticate(&state, &headers)?;
    let agent = state.agent.clone();
    tokio::spawn(async move { agent.drain().await });
    Ok(Json(DrainBody { status: "draining".to_owned() }))
}
