use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router, middleware,
    routing::{get, post},
};
use types::{Peer, StepError};

use crate::{
    FaultControl, StartCount, StartsBody, WorkerFaults, WorkerSettings, connections::Connections,
    server::Server, worker_routes, worker_state::WorkerState,
};

/// An emulated worker that runs tasks under leases over HTTP.
///
/// It accepts tasks beyond its capacity, which slows all of them down.
#[derive(Debug)]
pub struct WorkerServer {
    server: Server,
    state: Arc<WorkerState>,
}

impl WorkerServer {
    /// Starts a worker on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound, when the speed is not above zero, or when the default run
    /// time is negative.
    pub async fn start(settings: WorkerSettings, addr: SocketAddr) -> Result<Self, StepError> {
        check(&settings)?;
        let connections = Arc::new(Connections::new());
        let faults = FaultControl::new(Arc::clone(&connections));
        let state = Arc::new(WorkerState::new(settings, faults.clone(), Arc::clone(&connections)));
        let server = Server::start(addr, router(&state), connections).await?;
        Ok(Self { server, state })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL for [`ports::HttpWorker`].
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Returns the handle that changes its faults.
    pub fn faults(&self) -> FaultControl<WorkerFaults> {
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

fn check(settings: &WorkerSettings) -> Result<(), StepError> {
    let error = |cause| Err(StepError::new("checking worker settings", Peer::Local, cause));
    if !(settings.speed.is_finite() && settings.speed > 0.0) {
        return error("speed must be above zero");
    }
    if !(settings.default_run_ms.is_finite() && settings.default_run_ms >= 0.0) {
        return error("default_run_ms must not be negative");
    }
    Ok(())
}

fn router(state: &Arc<WorkerState>) -> Router {
    let starts = Arc::clone(state);
    Router::new()
        .route(
            "/leases/{lease}",
            post(worker_routes::start)
                .put(worker_routes::renew)
                .delete(worker_routes::stop)
                .get(worker_routes::status),
        )
        .route("/leases/{lease}/throttle", post(worker_routes::throttle))
        .route("/leases/{lease}/checkpoint", post(worker_routes::checkpoint))
        .route("/usage", get(worker_routes::usage))
        .layer(middleware::from_fn_with_state(Arc::clone(state), worker_routes::hang_while_silent))
        .with_state(Arc::clone(state))
        .route("/starts", get(async move || Json(StartsBody { starts: starts.starts() })))
        .merge(state.faults().router())
}
