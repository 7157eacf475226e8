use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use reqwest::Client;
use types::{JobId, Peer, StepError};

use crate::{StreamPlan, reply::Reply, submission::Submission};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the deadline for which the caller still waits for a reply.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Maximum number of idle connections to one entry.
const MAX_IDLE_CONNECTIONS: usize = 1_024;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client of the callers' interface that uses the entries in turn.
#[derive(Debug)]
pub(crate) struct Caller {
    client: Client,
    targets: Vec<String>,
    next: AtomicUsize,
}

impl Caller {
    pub(crate) fn new(targets: Vec<String>) -> Result<Self, StepError> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build()
            .map_err(|e| StepError::new("building the caller", Peer::Local, e))?;
        Ok(Self { client, targets, next: AtomicUsize::new(0) })
    }

    /// Submits a job to the next entry and waits for its outcome.
    pub(crate) async fn submit(&self, stream: &StreamPlan, submission: &Submission) -> Reply {
        let url = format!("{}/v1/services/{}/jobs", self.next_target(), stream.service);
        let result = self
            .client
            .post(url)
            .timeout(Duration::from_millis(stream.deadline_ms) + ANSWER_GRACE)
            .bearer_auth(&stream.token)
            .header("content-type", "application/json")
            .body(submission.body.clone())
            .send()
            .await;
        Reply::read(result).await
    }

    /// Requests the next entry to cancel a job; returns whether it confirmed with a success status.
    pub(crate) async fn cancel(&self, token: &str, id: JobId) -> bool {
        let url = format!("{}/v1/jobs/{id}", self.next_target());
        let result =
            self.client.delete(url).timeout(CANCEL_TIMEOUT).bearer_auth(token).send().await;
        result.is_ok_and(|resp| resp.status().is_success())
    }

    fn next_target(&self) -> &str {
        &self.targets[self.next.fetch_add(1, Ordering::Relaxed) % self.targets.len()]
    }
}
