use std::{sync::Arc, time::Duration};

use axum::{
    Extension, Router,
    body::Body,
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode},
    routing::{MethodRouter, delete, get, post},
};
use intake::{BodyLimits, ConnectionActivity, Intake};
use rpc::{ForwardedJob, JobQuery};
use serde::Deserialize;
use services::KindConfig;
use telemetry::{Hop, HopSpan};
use types::{JobId, Payload, Refusal, Route, ServiceName, TeamName};

use crate::{
    api::{Problem, job_body::JobBody, read_body, submit_body::SubmitBody, team::authenticate},
    router::Router as JobRouter,
    settings::{CallerSettings, LimitSettings},
};

/// Memory of a task besides its payload, bytes: its entries in the job table and in the queue.
const TASK_BYTES: usize = 256;

types::plain! {
    /// A route of the caller API.
    #[derive(Copy, Eq)]
    pub(crate) enum CallerRoute {
        Submit,
        Status,
        Cancel,
    }
}

impl CallerRoute {
    pub(crate) const ALL: [Self; 3] = [Self::Submit, Self::Status, Self::Cancel];

    pub(crate) fn route(self) -> Route {
        match self {
            Self::Submit => Route::post("/v1/services/{service}/jobs"),
            Self::Status => Route::get("/v1/jobs/{id}"),
            Self::Cancel => Route::delete("/v1/jobs/{id}"),
        }
    }

    fn handler(self) -> MethodRouter<Arc<CallerState>> {
        match self {
            Self::Submit => post(submit),
            Self::Status => get(status),
            Self::Cancel => delete(cancel),
        }
    }
}

/// State shared by the handlers of the caller API.
pub(crate) struct CallerState {
    pub(crate) callers: Vec<CallerSettings>,
    pub(crate) limits: LimitSettings,
    pub(crate) intake: Arc<Intake>,
    pub(crate) jobs: Arc<JobRouter>,
}

#[derive(Deserialize)]
struct SubmitQuery {
    #[serde(default = "default_wait")]
    wait: bool,
}

#[derive(Deserialize)]
struct StatusQuery {
    #[serde(default)]
    wait_ms: u64,
}

fn default_wait() -> bool {
    true
}

/// Returns the router of the caller API.
pub(crate) fn router(state: CallerState) -> Router {
    CallerRoute::ALL
        .into_iter()
        .fold(Router::new(), |router, route| router.route(route.route().path, route.handler()))
        .fallback(|| async {
            Problem::new(StatusCode::NOT_FOUND, "unknown-route", "no such route")
        })
        .with_state(Arc::new(state))
}

async fn submit(
    State(state): State<Arc<CallerState>>,
    Path(service): Path<String>,
    query: Result<Query<SubmitQuery>, axum::extract::rejection::QueryRejection>,
    activity: Option<Extension<ConnectionActivity>>,
    headers: HeaderMap,
    body: Body,
) -> Result<JobBody, Problem> {
    let team = authenticate(&headers, &state.callers)?;
    let Query(query) = query.map_err(|e| Problem::from(Refusal::Invalid(e.body_text())))?;
    let limits = BodyLimits {
        bytes: state.limits.body_bytes,
        time: Duration::from_millis(state.limits.idle_ms),
    };
    let mut received = read_body(&state.intake, activity, body, limits).await?;
    let body: SubmitBody<'_> = serde_json::from_slice(received.bytes())
        .map_err(|e| Problem::from(Refusal::Invalid(e.to_string())))?;
    let service: ServiceName =
        service.parse().map_err(|e| Problem::from(Refusal::Invalid(format!("service: {e}"))))?;
    let mut job = state.forwarded_job(team, service, query.wait, &body)?;
    // The job may wait and run for long; its bytes count until the response.
    received.replace(job.tasks.iter().map(|task| task.len() + TASK_BYTES).sum())?;
    let id = job.id;
    let span = HopSpan::start(Hop::Entry, traceparent(&headers));
    span.set_attribute("job", id);
    job.traceparent = span.traceparent();
    let status = state.jobs.submit(job).await.inspect_err(|refusal| span.set_error(refusal))?;
    Ok(JobBody::new(id, status))
}

async fn status(
    State(state): State<Arc<CallerState>>,
    Path(id): Path<String>,
    query: Result<Query<StatusQuery>, axum::extract::rejection::QueryRejection>,
    headers: HeaderMap,
) -> Result<JobBody, Problem> {
    let team = authenticate(&headers, &state.callers)?;
    let Query(query) = query.map_err(|e| Problem::from(Refusal::Invalid(e.body_text())))?;
    let id = parse_id(&id)?;
    let wait_ms = query.wait_ms.min(state.limits.max_wait_ms);
    let status = state.jobs.status(JobQuery { id, team, wait_ms }).await?;
    Ok(JobBody::new(id, status))
}

async fn cancel(
    State(state): State<Arc<CallerState>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Result<JobBody, Problem> {
    let team = authenticate(&headers, &state.callers)?;
    let id = parse_id(&id)?;
    let status = state.jobs.cancel(JobQuery { id, team, wait_ms: 0 }).await?;
    Ok(JobBody::new(id, status))
}

fn traceparent(headers: &HeaderMap) -> Option<&str> {
    headers.get("traceparent").and_then(|value| value.to_str().ok())
}

fn parse_id(text: &str) -> Result<JobId, Problem> {
    text.parse().map_err(|e| Problem::from(Refusal::Invalid(format!("id: {e}"))))
}

impl CallerState {
    /// Validates a submission against the configuration and builds the job that is routed to the
    /// owner.
    fn forwarded_job(
        &self,
        team: TeamName,
        service: ServiceName,
        wait: bool,
        body: &SubmitBody<'_>,
    ) -> Result<ForwardedJob, Refusal> {
        let id = body.job_id().map_err(Refusal::Invalid)?;
        let kind = body.kind().map_err(Refusal::Invalid)?;
        let config = self.jobs.config();
        let terms = config
            .services
            .get(&service)
            .filter(|terms| terms.teams.contains(&team))
            .ok_or_else(|| Refusal::UnknownService(service.clone()))?;
        let kind_terms =
            terms.kinds.get(&kind).ok_or_else(|| Refusal::UnknownKind(kind.clone()))?;
        let timeout_ms = timeout_ms(body.deadline_ms, kind_terms)?;
        let tasks = body.tasks(terms.max_tasks as usize).map_err(Refusal::Invalid)?;
        let digest = body.digest(&service, &tasks);
        let tasks = tasks.iter().map(|task| Payload::from_json(task.get())).collect();
        Ok(ForwardedJob {
            id,
            team,
            service,
            kind,
            timeout_ms,
            digest,
            tasks,
            wait,
            traceparent: None,
        })
    }
}

fn timeout_ms(requested: Option<u64>, terms: &KindConfig) -> Result<u64, Refusal> {
    match requested {
        None => Ok(terms.default_deadline_ms),
        Some(0) => Err(Refusal::Invalid("deadline_ms: must be greater than zero".to_owned())),
        Some(ms) if ms > terms.max_deadline_ms => {
            let max = terms.max_deadline_ms;
            Err(Refusal::Invalid(format!("deadline_ms: must be at most {max}")))
        }
        Some(ms) => Ok(ms),
    }
}
