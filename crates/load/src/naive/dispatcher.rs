use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Path, State},
    response::Response,
    routing::post,
};
use futures::future::try_join_all;
use ports::RunRequest;
use serde_json::Value;
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use types::{AttemptKey, AttemptNumber, Payload, Peer, ServiceName, StepError, TaskIndex, TaskKey};

use crate::naive::{
    body::{self, SubmitBody},
    upstream::{NaiveUpstream, UpstreamQueue},
};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A naive dispatcher that serves the callers' interface, as a baseline for comparisons.
#[derive(Debug)]
pub struct NaiveDispatcher {
    addr: SocketAddr,
    serving: JoinHandle<()>,
}

#[derive(Debug)]
struct Dispatch {
    queues: Vec<UpstreamQueue>,
    next: AtomicUsize,
}

impl NaiveDispatcher {
    /// Starts a dispatcher on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound or an HTTP client cannot be set up.
    pub async fn start(upstreams: Vec<NaiveUpstream>, addr: SocketAddr) -> Result<Self, StepError> {
        let queues = upstreams.into_iter().map(UpstreamQueue::new).collect::<Result<_, _>>()?;
        let dispatch = Arc::new(Dispatch { queues, next: AtomicUsize::new(0) });
        let error = |e| StepError::new("binding", Peer::Address(addr), e);
        let listener = TcpListener::bind(addr).await.map_err(error)?;
        let addr = listener.local_addr().map_err(error)?;
        let router = Router::new()
            .route("/v1/services/{service}/jobs", post(submit))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(dispatch);
        let serving = tokio::spawn(async move {
            if let Err(e) = axum::serve(listener, router).await {
                log::warn!("naive dispatcher on {addr} stopped accepting connections: {e}");
            }
        });
        Ok(Self { addr, serving })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }
}

impl Drop for NaiveDispatcher {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn submit(
    State(dispatch): State<Arc<Dispatch>>,
    Path(service): Path<ServiceName>,
    Json(job): Json<SubmitBody>,
) -> Response {
    let queues: Vec<&UpstreamQueue> =
        dispatch.queues.iter().filter(|queue| queue.serves(&service)).collect();
    if queues.is_empty() {
        return body::unknown_service();
    }
    let tasks = job.tasks.iter().enumerate().map(|(index, payload)| {
        let queue = queues[dispatch.next.fetch_add(1, Ordering::Relaxed) % queues.len()];
        queue.run(request(&service, &job, index, payload))
    });
    match timeout(Duration::from_millis(job.deadline_ms), try_join_all(tasks)).await {
        Ok(Ok(answers)) => body::complete(job.id, &answers),
        Ok(Err(e)) => body::failed(job.id, &e.to_string()),
        Err(_) => body::failed(job.id, "deadline passed"),
    }
}

fn request(service: &ServiceName, job: &SubmitBody, index: usize, payload: &Value) -> RunRequest {
    let task = TaskKey { job: job.id, index: TaskIndex(index as u32) };
    RunRequest {
        key: AttemptKey { task, attempt: AttemptNumber::FIRST },
        service: service.clone(),
        kind: job.kind.clone(),
        payload: Payload::from_json(payload.to_string()),
        timeout_ms: job.deadline_ms,
        traceparent: None,
    }
}
