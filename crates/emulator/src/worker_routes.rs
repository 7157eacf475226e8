//! Handlers of the worker's HTTP protocol, as spoken by [`ports::HttpWorker`].

use std::{sync::Arc, time::Duration};

use axum::{
    Json,
    extract::{Path, Query, Request, State},
    http::StatusCode,
    middleware::Next,
    response::{IntoResponse, Response},
};
use ports::{Checkpoint, LeaseId, LeaseStart, RenewBody, ThrottleBody};

use crate::{lease::Lease, reply, worker_state::WorkerState};

const MAX_STATUS_WAIT: Duration = Duration::from_secs(60);
const PERCENT: f64 = 100.0;

types::wire! {
    pub(crate) struct StatusQuery {
        #[serde(default)]
        wait_ms: u64,
    }
}

type Worker = State<Arc<WorkerState>>;

/// Middleware that never responds while the worker is silent.
pub(crate) async fn hang_while_silent(State(state): Worker, req: Request, next: Next) -> Response {
    if state.faults().get().silent {
        return reply::silent().await;
    }
    next.run(req).await
}

pub(crate) async fn start(State(state): Worker, Json(start): Json<LeaseStart>) -> Response {
    if let Err(error) = state.start(start) {
        return reply::not_run(StatusCode::UNPROCESSABLE_ENTITY, error);
    }
    if state.faults().update_if(|f| reply::count_down(&mut f.lose_answers)) {
        return reply::lost();
    }
    StatusCode::CREATED.into_response()
}

pub(crate) async fn renew(
    State(state): Worker,
    Path(id): Path<LeaseId>,
    Json(body): Json<RenewBody>,
) -> Response {
    with_running_lease(&state, id, |lease| {
        lease.renew(Duration::from_millis(body.lease_ms));
        StatusCode::NO_CONTENT.into_response()
    })
}

pub(crate) async fn stop(State(state): Worker, Path(id): Path<LeaseId>) -> Response {
    let Some(lease) = state.lease(id) else {
        return unknown_lease(id);
    };
    lease.stop();
    StatusCode::NO_CONTENT.into_response()
}

pub(crate) async fn throttle(
    State(state): Worker,
    Path(id): Path<LeaseId>,
    Json(body): Json<ThrottleBody>,
) -> Response {
    with_running_lease(&state, id, |lease| {
        lease.control().set_throttle(f64::from(body.percent) / PERCENT);
        StatusCode::NO_CONTENT.into_response()
    })
}

pub(crate) async fn checkpoint(State(state): Worker, Path(id): Path<LeaseId>) -> Response {
    const MS_PER_SECOND: f64 = 1_000.0;
    with_running_lease(&state, id, |lease| {
        let done_ms = lease.work_done().as_secs_f64() * MS_PER_SECOND;
        Json(Checkpoint { done_ms }).into_response()
    })
}

pub(crate) async fn status(
    State(state): Worker,
    Path(id): Path<LeaseId>,
    Query(query): Query<StatusQuery>,
) -> Response {
    match state.lease(id) {
        Some(lease) => {
            let wait = Duration::from_millis(query.wait_ms).min(MAX_STATUS_WAIT);
            Json(lease.status(wait).await).into_response()
        }
        None => unknown_lease(id),
    }
}

pub(crate) async fn usage(State(state): Worker) -> Response {
    if state.faults().get().usage_down {
        return reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "usage is not reported");
    }
    Json(state.usage()).into_response()
}

fn with_running_lease(
    state: &WorkerState,
    id: LeaseId,
    action: impl FnOnce(&Lease) -> Response,
) -> Response {
    match state.lease(id) {
        Some(lease) if lease.is_running() => action(&lease),
        Some(_) => reply::not_run(StatusCode::CONFLICT, "the task has ended"),
        None => unknown_lease(id),
    }
}

fn unknown_lease(id: LeaseId) -> Response {
    reply::not_run(StatusCode::NOT_FOUND, format!("no lease {id}"))
}
