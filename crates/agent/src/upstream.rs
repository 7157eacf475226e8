//! The upstream beside the agent and how one task runs on it.

use std::sync::Arc;

use ports::{Executor, ExecutorError, RunRequest};
use rpc::{NotStarted, TaskResult, TaskStart};
use telemetry::{Hop, HopSpan};
use tokio::time::Instant;
use types::Answer;

use crate::{leased_worker::LeasedWorker, run_end::RunEnd};

/// The upstream of an agent.
#[derive(Clone)]
pub(crate) enum Upstream {
    /// An executor, which answers requests.
    Executor(Arc<dyn Executor>),
    /// A worker, which runs tasks under leases.
    Worker(LeasedWorker),
}

impl Upstream {
    /// Runs a task until a deadline.
    pub(crate) async fn run(&self, agent: &HopSpan, start: TaskStart, deadline: Instant) -> RunEnd {
        if Instant::now() >= deadline {
            return TaskResult::NotStarted(NotStarted::Expired).into();
        }
        let span = HopSpan::start(Hop::Upstream, agent.traceparent().as_deref());
        let traceparent = span.traceparent();
        let end = match self {
            Self::Executor(executor) => {
                execute(executor.as_ref(), start, deadline, traceparent).await.into()
            }
            Self::Worker(worker) => worker.run(start, deadline, traceparent).await,
        };
        if !matches!(end.result, TaskResult::Done(_)) {
            span.set_error("the upstream did not answer");
            agent.set_error("the upstream did not answer");
        }
        end
    }
}

async fn execute(
    executor: &dyn Executor,
    start: TaskStart,
    deadline: Instant,
    traceparent: Option<String>,
) -> TaskResult {
    let begun = Instant::now();
    let req = RunRequest {
        key: start.key,
        service: start.service,
        kind: start.kind,
        payload: start.payload,
        timeout_ms: deadline.duration_since(begun).as_millis().max(1) as u64,
        traceparent,
    };
    match executor.run(req).await {
        Ok(payload) => {
            let run_us = begun.elapsed().as_micros() as u64;
            TaskResult::Done(Answer { payload, run_us })
        }
        Err(ExecutorError::Failed(e)) => TaskResult::Failed(e.to_string()),
        Err(ExecutorError::NotStarted(e)) => {
            TaskResult::NotStarted(NotStarted::Executor(e.to_string()))
        }
        Err(ExecutorError::Unknown(e)) => TaskResult::Unknown(e.to_string()),
    }
}
