//! The upstream of an agent and the run of one attempt on it.

use std::sync::Arc;

use ports::{Executor, ExecutorError, RunRequest};
use rpc::{NotStarted, TaskResult, TaskStart};
use telemetry::{Hop, HopSpan};
use tokio::time::Instant;
use types::Answer;

use crate::{leased_worker::LeasedWorker, run_outcome::RunOutcome};

/// The upstream of an agent.
#[derive(Clone)]
pub(crate) enum Upstream {
    /// An executor, which runs a task for the length of one request.
    Executor(Arc<dyn Executor>),
    /// A worker, which runs tasks under leases.
    Worker(LeasedWorker),
}

impl Upstream {
    /// Runs an attempt until its deadline.  `agent_span` is the parent of the span of the run and
    /// also records its failure.
    pub(crate) async fn run(
        &self,
        agent_span: &HopSpan,
        start: TaskStart,
        deadline: Instant,
    ) -> RunOutcome {
        if Instant::now() >= deadline {
            return TaskResult::NotStarted(NotStarted::Expired).into();
        }
        let span = HopSpan::start(Hop::Upstream, agent_span.traceparent().as_deref());
        let traceparent = span.traceparent();
        let outcome = match self {
            Self::Executor(executor) => {
                run_on_executor(executor.as_ref(), start, deadline, traceparent).await.into()
            }
            Self::Worker(worker) => worker.run(start, deadline, traceparent).await,
        };
        if !matches!(outcome.result, TaskResult::Done(_)) {
            span.set_error("the upstream did not answer");
            agent_span.set_error("the upstream did not answer");
        }
        outcome
    }
}

async fn run_on_executor(
    executor: &dyn Executor,
    start: TaskStart,
    deadline: Instant,
    traceparent: Option<String>,
) -> TaskResult {
    let started_at = Instant::now();
    let req = RunRequest {
        key: start.key,
        service: start.service,
        kind: start.kind,
        payload: start.payload,
        timeout_ms: deadline.duration_since(started_at).as_millis().max(1) as u64,
        traceparent,
    };
    match executor.run(req).await {
        Ok(payload) => {
            let run_us = started_at.elapsed().as_micros() as u64;
            TaskResult::Done(Answer { payload, run_us })
        }
        Err(ExecutorError::Failed(e)) => TaskResult::Failed(e.to_string()),
        Err(ExecutorError::NotStarted(e)) => {
            TaskResult::NotStarted(NotStarted::Executor(e.to_string()))
        }
        Err(ExecutorError::Unknown(e)) => TaskResult::Unknown(e.to_string()),
    }
}
