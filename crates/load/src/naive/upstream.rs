use std::sync::Arc;

use ports::{Executor, ExecutorError, HttpExecutor, RunRequest};
use serde_json::Value;
use tokio::sync::Semaphore;
use types::{Peer, ServiceName, StepError};

types::plain! {
    /// An upstream of a [`NaiveDispatcher`](crate::NaiveDispatcher).
    pub struct NaiveUpstream {
        /// Base URL of the executor.
        pub url: String,
        /// The service whose tasks it runs.
        pub service: ServiceName,
        /// Maximum number of tasks in progress at it; further ones wait in order of arrival.
        pub slots: u32,
    }
}

/// An upstream with its client and the queue of tasks that wait for a slot.
#[derive(Debug)]
pub(crate) struct UpstreamQueue {
    service: ServiceName,
    client: HttpExecutor,
    slots: Arc<Semaphore>,
}

impl UpstreamQueue {
    pub(crate) fn new(upstream: NaiveUpstream) -> Result<Self, StepError> {
        Ok(Self {
            client: HttpExecutor::new(upstream.url, upstream.slots as usize)?,
            service: upstream.service,
            slots: Arc::new(Semaphore::new(upstream.slots as usize)),
        })
    }

    pub(crate) fn serves(&self, service: &ServiceName) -> bool {
        self.service == *service
    }

    /// Runs a task as soon as a slot is free.
    pub(crate) async fn run(&self, req: RunRequest) -> Result<Value, ExecutorError> {
        let _slot = self.slots.acquire().await;
        let answer = self.client.run(req).await?;
        serde_json::from_str(answer.as_str())
            .map_err(|e| ExecutorError::Failed(StepError::new("reading an answer", Peer::Local, e)))
    }
}
