use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use futures::future::BoxFuture;
use reqwest::{Client, StatusCode};
use types::{Payload, Peer, StepError};

use crate::{ErrorBody, Executor, ExecutorError, RunRequest};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client of an executor: it sends `POST {base}/run/{service}/{kind}` with the task's
/// payload as body and its identity in headers.
///
/// After a request that timed out the connections are replaced, because a network device on the
/// path may have dropped its state of them.
#[derive(Debug)]
pub struct HttpExecutor {
    base: String,
    connections: usize,
    client: Mutex<Client>,
}

impl HttpExecutor {
    /// Creates a client for a base URL that keeps at most `connections` idle connections.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(base: impl Into<String>, connections: usize) -> Result<Self, StepError> {
        let client = Mutex::new(build_client(connections)?);
        Ok(Self { base: base.into(), connections, client })
    }

    fn client(&self) -> Client {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn replace_connections(&self) {
        if let Ok(client) = build_client(self.connections) {
            *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        }
    }

    fn error(&self, cause: impl std::fmt::Display) -> StepError {
        StepError::new("running a task", Peer::Named(self.base.clone()), cause)
    }

    async fn post(&self, req: RunRequest) -> Result<Payload, ExecutorError> {
        let task = req.key.task;
        let mut builder = self
            .client()
            .post(format!("{}/run/{}/{}", self.base, req.service, req.kind))
            .timeout(Duration::from_millis(req.timeout_ms))
            .header("content-type", "application/json")
            .header("x-job-id", task.job.to_string())
            .header("x-task-index", task.index.0)
            .header("x-attempt", req.key.attempt.0)
            .body(req.payload.as_str().to_owned());
        if let Some(traceparent) = req.traceparent {
            builder = builder.header("traceparent", traceparent);
        }
        let resp = builder.send().await.map_err(|e| {
            let is_unsent = e.is_connect() || e.is_builder();
            if e.is_timeout() {
                self.replace_connections();
            }
            let error = self.error(e);
            if is_unsent { ExecutorError::NotStarted(error) } else { ExecutorError::Unknown(error) }
        })?;
        let status = resp.status();
        let text = resp.text().await.map_err(|e| ExecutorError::Unknown(self.error(e)))?;
        if status.is_success() {
            return Ok(Payload::from_json(text));
        }
        Err(self.response_error(status, &text))
    }

    fn response_error(&self, status: StatusCode, text: &str) -> ExecutorError {
        match serde_json::from_str::<ErrorBody>(text) {
            Ok(body) if body.not_run => ExecutorError::NotStarted(self.error(body.error)),
            Ok(body) => ExecutorError::Failed(self.error(body.error)),
            Err(_) => ExecutorError::Failed(self.error(status)),
        }
    }
}

fn build_client(connections: usize) -> Result<Client, StepError> {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(connections)
        .build()
        .map_err(|e| StepError::new("building the executor client", Peer::Local, e))
}

impl Executor for HttpExecutor {
    fn run(&self, req: RunRequest) -> BoxFuture<'_, Result<Payload, ExecutorError>> {
        Box::pin(self.post(req))
    }
}
