//! The admin API of an entry, for operators.

use std::{sync::Arc, time::Duration};

use axum::{
    Extension, Json, Router,
    body::Body,
    extract::{Path, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
    routing::{MethodRouter, get, patch, post},
};
use intake::{BodyLimits, ConnectionActivity, Intake};
use journal::{JournalError, Submission};
use metrics_exporter_prometheus::PrometheusHandle;
use rpc::PeerContact;
use services::{ConfigPatch, PatchId, PatchOutcome, Version};
use settings::{TokenDigest, bearer_digest};
use telemetry::{SpanView, Traces};
use types::{EntryName, Incarnation, Route};

use crate::{
    api::{Problem, read_body},
    entry::Entry,
    messages::{ListUpstreams, UpstreamsView},
    ownership::DescribeContacts,
};

const PATCH_ID: &str = "x-patch-id";
/// Largest patch, bytes.
pub(crate) const MAX_PATCH_BYTES: usize = 2 * 1024 * 1024;
/// Longest time for a patch to be complete.
const PATCH_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) struct AdminState {
    pub(crate) entry: Entry,
    pub(crate) intake: Arc<Intake>,
    pub(crate) tokens: Vec<TokenDigest>,
    pub(crate) metrics: Option<PrometheusHandle>,
    pub(crate) traces: Option<Traces>,
}

types::wire! {
    /// Reply of the drain route.
    pub(crate) struct DrainBody {
        /// Always `draining`.
        pub(crate) status: String,
    }

    /// Reply of the routes about configuration patches.
    pub(crate) struct PatchBody {
        /// Identifier of the patch.
        pub(crate) patch_id: PatchId,
        /// `accepted`, `rejected` or `undecided`.
        pub(crate) status: String,
        /// Version that the patch created; absent unless it was accepted.
        pub(crate) version: Option<Version>,
        /// Reasons of a rejection, each with the path of the field.
        pub(crate) reasons: Vec<String>,
    }

    /// Reply of the status route.
    pub(crate) struct StatusBody {
        /// The entry.
        pub(crate) entry: EntryName,
        /// Its incarnation.
        pub(crate) incarnation: Incarnation,
        /// Whether every partition has an owner, a configuration is in force and the entry is not
        /// shutting down.
        pub(crate) is_ready: bool,
        /// Whether it is shutting down.
        pub(crate) is_draining: bool,
        /// Version of the configuration in force.
        pub(crate) config_version: Version,
        /// Whether the configuration stream can be read.
        pub(crate) is_log_available: bool,
        /// Partitions by owner.
        pub(crate) partitions: Vec<OwnerView>,
        /// Other entries with the time since the last contact.
        pub(crate) peers: Vec<PeerContact>,
    }

    /// Number of partitions of one owner.
    pub(crate) struct OwnerView {
        /// Name of the owner; absent for partitions without one.
        pub(crate) owner: Option<EntryName>,
        /// Number of partitions.
        pub(crate) partitions: usize,
    }

    /// Finished spans, oldest first.
    pub(crate) struct SpansBody {
        /// The spans.
        pub(crate) spans: Vec<SpanView>,
    }
}

types::plain! {
    /// A route of the admin API.
    #[derive(Copy, Eq)]
    pub(crate) enum AdminRoute {
        Live,
        Ready,
        Metrics,
        GetConfig,
        PatchConfig,
        GetPatch,
        Upstreams,
        Status,
        Traces,
        Drain,
    }
}

impl AdminRoute {
    pub(crate) const ALL: [Self; 10] = [
        Self::Live,
        Self::Ready,
        Self::Metrics,
        Self::GetConfig,
        Self::PatchConfig,
        Self::GetPatch,
        Self::Upstreams,
        Self::Status,
        Self::Traces,
        Self::Drain,
    ];

    pub(crate) fn route(self) -> Route {
        match self {
            Self::Live => Route::get("/livez"),
            Self::Ready => Route::get("/readyz"),
            Self::Metrics => Route::get("/metrics"),
            Self::GetConfig => Route::get("/v1/config"),
            Self::PatchConfig => Route::patch("/v1/config"),
            Self::GetPatch => Route::get("/v1/patches/{id}"),
            Self::Upstreams => Route::get("/v1/upstreams"),
            Self::Status => Route::get("/v1/status"),
            Self::Traces => Route::get("/v1/traces"),
            Self::Drain => Route::post("/v1/drain"),
        }
    }

    fn handler(self) -> MethodRouter<Arc<AdminState>> {
        match self {
            Self::Live => get(|| async { "ok" }),
            Self::Ready => get(ready),
            Self::Metrics => get(render_metrics),
            Self::GetConfig => get(get_config),
            Self::PatchConfig => patch(patch_config),
            Self::GetPatch => get(get_patch),
            Self::Upstreams => get(upstreams),
            Self::Status => get(status),
            Self::Traces => get(traces),
            Self::Drain => post(drain),
        }
    }
}

/// Returns the router of the admin API.
pub(crate) fn router(state: AdminState) -> Router {
    AdminRoute::ALL
        .into_iter()
        .fold(Router::new(), |router, route| router.route(route.route().path, route.handler()))
        .fallback(unknown_route)
        .with_state(Arc::new(state))
}

async fn unknown_route() -> Problem {
    Problem::new(StatusCode::NOT_FOUND, "unknown-route", "no such route")
}

fn authenticate(state: &AdminState, headers: &HeaderMap) -> Result<(), Problem> {
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(bearer_digest)
        .ok_or_else(Problem::unauthorized)?;
    let is_known = state.tokens.iter().filter(|token| token.matches(&presented)).count() > 0;
    if is_known { Ok(()) } else { Err(Problem::unauthorized()) }
}

async fn ready(State(state): State<Arc<AdminState>>) -> (StatusCode, &'static str) {
    match (state.entry.is_ready(), state.entry.is_draining()) {
        (true, _) => (StatusCode::OK, "ok"),
        (false, true) => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
    }
}

async fn render_metrics(State(state): State<Arc<AdminState>>) -> String {
    state.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default()
}

async fn get_config(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Response, Problem> {
    authenticate(&state, &headers)?;
    let in_force = state.entry.config().in_force();
    let body = Json(in_force.config().as_ref().clone());
    Ok(with_etag(body.into_response(), in_force.version()))
}

fn with_etag(mut resp: Response, version: Version) -> Response {
    if let Ok(etag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        resp.headers_mut().insert(header::ETAG, etag);
    }
    resp
}

async fn patch_config(
    State(state): State<Arc<AdminState>>,
    activity: Option<Extension<ConnectionActivity>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Problem> {
    authenticate(&state, &headers)?;
    let base = base_version(&headers)?;
    let patch_id = patch_id(&headers)?;
    let limits = BodyLimits { bytes: MAX_PATCH_BYTES, time: PATCH_TIMEOUT };
    let received = read_body(&state.intake, activity, body, limits).await?;
    let patch = std::str::from_utf8(received.bytes())
        .ok()
        .map(str::to_owned)
        .filter(|text| serde_json::from_str::<serde::de::IgnoredAny>(text).is_ok())
        .ok_or_else(|| {
            Problem::new(StatusCode::BAD_REQUEST, "invalid-request", "the patch is not json")
        })?;
    let patch = ConfigPatch { patch_id, base, patch };
    match state.entry.publisher().submit(patch).await {
        Ok(Submission::Decided(outcome)) => Ok(outcome_response(patch_id, outcome.first())),
        Ok(Submission::Undecided { patch_id }) => Ok(undecided(patch_id)),
        Err(JournalError::Stopped(_)) => Ok(undecided(patch_id)),
        Err(e) => Err(Problem {
            retry_after_ms: Some(1_000),
            ..Problem::new(StatusCode::SERVICE_UNAVAILABLE, "log-unavailable", e.to_string())
        }),
    }
}

fn base_version(headers: &HeaderMap) -> Result<Version, Problem> {
    let problem =
        |detail: &str| Problem::new(StatusCode::PRECONDITION_REQUIRED, "if-match", detail);
    let value = headers.get(header::IF_MATCH).ok_or_else(|| problem("If-Match is required"))?;
    let text = value.to_str().map_err(|_| problem("If-Match is not text"))?;
    let number = text.trim_matches('"').parse().map_err(|_| problem("If-Match is no version"))?;
    Ok(Version(number))
}

fn patch_id(headers: &HeaderMap) -> Result<PatchId, Problem> {
    let Some(value) = headers.get(PATCH_ID) else {
        return Ok(PatchId::generate());
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| {
        Problem::new(StatusCode::BAD_REQUEST, "invalid-request", "x-patch-id is not a uuid")
    })
}

fn outcome_response(patch_id: PatchId, outcome: &PatchOutcome) -> Response {
    let status = |text: &str| text.to_owned();
    match outcome {
        PatchOutcome::Accepted(version) => {
            let body = PatchBody {
                patch_id,
                status: status("accepted"),
                version: Some(*version),
                reasons: Vec::new(),
            };
            with_etag(Json(body).into_response(), *version)
        }
        PatchOutcome::Rejected(fields) => {
            let reasons = fields.iter().map(ToString::to_string).collect();
            let body = PatchBody { patch_id, status: status("rejected"), version: None, reasons };
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        PatchOutcome::Duplicate(first) => outcome_response(patch_id, first),
    }
}

fn undecided(patch_id: PatchId) -> Response {
    let body =
        PatchBody { patch_id, status: "undecided".to_owned(), version: None, reasons: Vec::new() };
    (StatusCode::ACCEPTED, Json(body)).into_response()
}

async fn get_patch(
    State(state): State<Arc<AdminState>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Problem> {
    authenticate(&state, &headers)?;
    let id: PatchId = id.parse().map_err(|_| {
        Problem::new(StatusCode::BAD_REQUEST, "invalid-request", "patch id is not a uuid")
    })?;
    match state.entry.publisher().patch_outcome(id) {
        Some(outcome) => Ok(outcome_response(id, &outcome)),
        None => Ok(undecided(id)),
    }
}

async fn upstreams(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Json<UpstreamsView>, Problem> {
    authenticate(&state, &headers)?;
    let view = state.entry.dispatcher().ask(ListUpstreams).await;
    view.map(Json).map_err(|e| stopped_problem(&e))
}

fn stopped_problem(e: &impl ToString) -> Problem {
    Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "stopped", e.to_string())
}

async fn status(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Json<StatusBody>, Problem> {
    authenticate(&state, &headers)?;
    let entry = &state.entry;
    let peers =
        entry.ownership_manager().ask(DescribeContacts).await.map_err(|e| stopped_problem(&e))?;
    let mut owners: indexmap::IndexMap<Option<EntryName>, usize> = indexmap::IndexMap::new();
    for owner in entry.owners().iter() {
        *owners.entry(owner.as_ref().map(|owner| owner.name.clone())).or_default() += 1;
    }
    let view = |(owner, partitions)| OwnerView { owner, partitions };
    Ok(Json(StatusBody {
        entry: entry.identity().name.clone(),
        incarnation: entry.identity().incarnation,
        is_ready: entry.is_ready(),
        is_draining: entry.is_draining(),
        config_version: entry.config().in_force().version(),
        is_log_available: entry.config().is_available(),
        partitions: owners.into_iter().map(view).collect(),
        peers: peers.contacts,
    }))
}

async fn traces(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Json<SpansBody>, Problem> {
    authenticate(&state, &headers)?;
    let spans = state.traces.as_ref().map(Traces::recent_spans).unwrap_or_default();
    Ok(Json(SpansBody { spans }))
}

async fn drain(
    State(state): State<Arc<AdminState>>,
    headers: HeaderMap,
) -> Result<Json<DrainBody>, Problem> {
    authenticate(&state, &headers)?;
    let entry = state.entry.clone();
    tokio::spawn(async move { entry.drain().await });
    Ok(Json(DrainBody { status: "draining".to_owned() }))
}
