use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{ConnectInfo, Path, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use types::{Peer, StepError};

use crate::{
    ExecutorFaults, ExecutorSettings, FaultControl, StartCount, StartsBody, answers::Function,
    connection_permit::ConnectionPermit, connections::Connections, executor_state::ExecutorState,
    reply, run_headers, server::Server,
};

/// An emulated executor that runs tasks of the `recipe` and `notebook` services over HTTP.
#[derive(Debug)]
pub struct ExecutorServer {
    server: Server,
    state: Arc<ExecutorState>,
}

impl ExecutorServer {
    /// Starts an executor on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound, when slots or speed are not above zero, or when the
    /// default run time is negative.
    pub async fn start(settings: ExecutorSettings, addr: SocketAddr) -> Result<Self, StepError> {
        check(&settings)?;
        let connections = Arc::new(Connections::new());
        let faults = FaultControl::new(Arc::clone(&connections));
        let state =
            Arc::new(ExecutorState::new(&settings, faults.clone(), Arc::clone(&connections)));
        let router = Router::new()
            .route("/run/{service}/{kind}", post(run))
            .route("/starts", get(starts))
            .with_state(Arc::clone(&state))
            .merge(faults.router());
        let server = Server::start(addr, router, connections).await?;
        Ok(Self { server, state })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL for [`ports::HttpExecutor`].
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Returns the handle that changes its faults.
    pub fn faults(&self) -> FaultControl<ExecutorFaults> {
        self.state.faults().clone()
    }

    /// Returns how often each attempt was started, in the order of their first starts.
    pub fn starts(&self) -> Vec<StartCount> {
        self.state.starts()
    }

    /// Returns the number of tasks in progress.
    pub fn running(&self) -> u32 {
        self.state.running()
    }

    /// Closes the port, resets every connection and aborts every task.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn check(settings: &ExecutorSettings) -> Result<(), StepError> {
    let error = |cause| Err(StepError::new("checking executor settings", Peer::Local, cause));
    if settings.slots == 0 {
        return error("slots must be above zero");
    }
    if !(settings.speed.is_finite() && settings.speed > 0.0) {
        return error("speed must be above zero");
    }
    if !(settings.default_run_ms.is_finite() && settings.default_run_ms >= 0.0) {
        return error("default_run_ms must not be negative");
    }
    Ok(())
}

async fn run(
    State(state): State<Arc<ExecutorState>>,
    ConnectInfo(permit): ConnectInfo<ConnectionPermit>,
    Path((service, kind)): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if !state.admits(&permit) {
        return reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "executor refuses the connection");
    }
    let Some(function) = Function::find(&service, &kind) else {
        return reply::not_run(StatusCode::NOT_FOUND, format!("no kind {service}/{kind}"));
    };
    match run_headers::attempt_key(&headers) {
        Ok(key) => state.run(function, key, run_headers::traceparent(&headers), body).await,
        Err(error) => reply::not_run(StatusCode::BAD_REQUEST, error),
    }
}

async fn starts(State(state): State<Arc<ExecutorState>>) -> Response {
    Json(StartsBody { starts: state.starts() }).into_response()
}
