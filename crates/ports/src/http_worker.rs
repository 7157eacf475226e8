use std::time::Duration;

use futures::future::BoxFuture;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use types::{Peer, StepError};

use crate::{
    Checkpoint, ErrorBody, LeaseId, LeaseStart, LeaseStatus, RenewBody, ThrottleBody, Worker,
    WorkerError, WorkerUsage,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client of a worker.
///
/// `POST {base}/leases/{lease}` starts a task under a lease. On the same path `PUT` renews the
/// lease, `DELETE` stops the task, and `GET` with `wait_ms` returns its status.
/// `POST {base}/leases/{lease}/throttle` and `.../checkpoint` act on a running task, and
/// `GET {base}/usage` returns the usage report.
#[derive(Clone, Debug)]
pub struct HttpWorker {
    base: String,
    client: Client,
}

impl HttpWorker {
    /// Creates a client for a base URL without a trailing slash.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(base: impl Into<String>) -> Result<Self, StepError> {
        let base = base.into();
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(|e| StepError::new("building the worker client", Peer::Local, e))?;
        Ok(Self { base, client })
    }

    fn lease_request(&self, method: Method, lease: LeaseId, action: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}/leases/{lease}{action}", self.base))
            .timeout(ANSWER_TIMEOUT)
    }

    fn error(&self, step: &'static str, cause: impl std::fmt::Display) -> StepError {
        StepError::new(step, Peer::Named(self.base.clone()), cause)
    }

    async fn send(&self, step: &'static str, req: RequestBuilder) -> Result<Response, WorkerError> {
        let resp = req.send().await.map_err(|e| {
            let is_unsent = e.is_connect() || e.is_builder();
            let error = self.error(step, e);
            if is_unsent { WorkerError::Refused(error) } else { WorkerError::NoAnswer(error) }
        })?;
        if resp.status().is_success() {
            return Ok(resp);
        }
        Err(self.response_error(step, resp).await)
    }

    async fn response_error(&self, step: &'static str, resp: Response) -> WorkerError {
        let status = resp.status();
        match resp.json::<ErrorBody>().await {
            Ok(_) if status == StatusCode::NOT_FOUND => {
                WorkerError::UnknownLease(self.error(step, status))
            }
            Ok(body) if body.not_run => WorkerError::Refused(self.error(step, body.error)),
            Ok(body) => WorkerError::NoAnswer(self.error(step, body.error)),
            Err(_) => WorkerError::NoAnswer(self.error(step, status)),
        }
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        resp: Response,
    ) -> Result<T, WorkerError> {
        resp.json().await.map_err(|e| WorkerError::NoAnswer(self.error(step, e)))
    }

    async fn start_lease(&self, start: LeaseStart) -> Result<(), WorkerError> {
        let req = self.lease_request(Method::POST, start.lease, "").json(&start);
        self.send("starting a lease", req).await.map(drop)
    }

    async fn renew_lease(&self, lease: LeaseId, lease_ms: u64) -> Result<(), WorkerError> {
        let req = self.lease_request(Method::PUT, lease, "").json(&RenewBody { lease_ms });
        self.send("renewing a lease", req).await.map(drop)
    }

    async fn stop_lease(&self, lease: LeaseId) -> Result<(), WorkerError> {
        let req = self.lease_request(Method::DELETE, lease, "");
        self.send("stopping a lease", req).await.map(drop)
    }

    async fn throttle_lease(&self, lease: LeaseId, percent: u8) -> Result<(), WorkerError> {
        let req =
            self.lease_request(Method::POST, lease, "/throttle").json(&ThrottleBody { percent });
        self.send("throttling a lease", req).await.map(drop)
    }

    async fn checkpoint_lease(&self, lease: LeaseId) -> Result<Checkpoint, WorkerError> {
        const STEP: &str = "checkpointing a lease";
        let resp = self.send(STEP, self.lease_request(Method::POST, lease, "/checkpoint")).await?;
        self.read_json(STEP, resp).await
    }

    async fn lease_status(&self, lease: LeaseId, wait_ms: u64) -> Result<LeaseStatus, WorkerError> {
        const STEP: &str = "reading a lease";
        let req = self
            .lease_request(Method::GET, lease, "")
            .timeout(ANSWER_TIMEOUT + Duration::from_millis(wait_ms))
            .query(&[("wait_ms", wait_ms)]);
        let resp = self.send(STEP, req).await?;
        self.read_json(STEP, resp).await
    }

    async fn worker_usage(&self) -> Result<WorkerUsage, WorkerError> {
        const STEP: &str = "reading usage";
        let req = self.client.get(format!("{}/usage", self.base)).timeout(ANSWER_TIMEOUT);
        let resp = self.send(STEP, req).await?;
        self.read_json(STEP, resp).await
    }
}

impl Worker for HttpWorker {
    fn start(&self, start: LeaseStart) -> BoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(self.start_lease(start))
    }

    fn renew(&self, lease: LeaseId, lease_ms: u64) -> BoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(self.renew_lease(lease, lease_ms))
    }

    fn stop(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(self.stop_lease(lease))
    }

    fn throttle(&self, lease: LeaseId, percent: u8) -> BoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(self.throttle_lease(lease, percent))
    }

    fn checkpoint(&self, lease: LeaseId) -> BoxFuture<'_, Result<Checkpoint, WorkerError>> {
        Box::pin(self.checkpoint_lease(lease))
    }

    fn status(
        &self,
        lease: LeaseId,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<LeaseStatus, WorkerError>> {
        Box::pin(self.lease_status(lease, wait_ms))
    }

    fn usage(&self) -> BoxFuture<'_, Result<WorkerUsage, WorkerError>> {
        Box::pin(self.worker_usage())
    }
}
