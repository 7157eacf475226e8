use std::sync::Arc;

use axum::{
    Json,
    body::Bytes,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use serde_json::Value;
use tokio::sync::Semaphore;
use types::{AttemptKey, Resources};

use crate::{
    Capacity, ExecutorFaults, ExecutorSettings, FaultControl, Processor, StartCount, TaskControl,
    answers::{AnswerState, Function},
    connection_permit::ConnectionPermit,
    connections::Connections,
    reply,
    start_counts::StartCounts,
    task::Task,
    task_error::TaskError,
};

/// State of one executor that its request handlers share: tasks in progress, counts of starts
/// and faults.
#[derive(Debug)]
pub(crate) struct ExecutorState {
    default_run_ms: f64,
    faults: FaultControl<ExecutorFaults>,
    connections: Arc<Connections>,
    connection_limit: Arc<Semaphore>,
    processor: Processor,
    starts: StartCounts,
    answers: AnswerState,
}

impl ExecutorState {
    pub(crate) fn new(
        settings: &ExecutorSettings,
        faults: FaultControl<ExecutorFaults>,
        connections: Arc<Connections>,
    ) -> Self {
        let capacity = Capacity { tasks: settings.slots, resources: Resources::default() };
        Self {
            default_run_ms: settings.default_run_ms,
            faults,
            connections,
            connection_limit: Arc::new(Semaphore::new(settings.connections)),
            processor: Processor::new(capacity, settings.speed),
            starts: StartCounts::default(),
            answers: AnswerState::default(),
        }
    }

    pub(crate) fn faults(&self) -> &FaultControl<ExecutorFaults> {
        &self.faults
    }

    pub(crate) fn starts(&self) -> Vec<StartCount> {
        self.starts.snapshot()
    }

    pub(crate) fn running(&self) -> u32 {
        self.processor.running()
    }

    /// Returns whether a connection may submit tasks.
    pub(crate) fn admits(&self, permit: &ConnectionPermit) -> bool {
        !self.faults.get().refuse && permit.try_acquire(&self.connection_limit)
    }

    /// Runs a task and returns the response. The task continues when the caller disconnects, and
    /// is aborted when the connections are reset.
    pub(crate) async fn run(
        self: Arc<Self>,
        function: Function,
        key: AttemptKey,
        traceparent: Option<String>,
        body: Bytes,
    ) -> Response {
        self.starts.record_start(key, traceparent);
        let reset = self.connections.tokens().reset;
        let task =
            async move { reset.run_until_cancelled(self.execute(function, key, &body)).await };
        match tokio::spawn(task).await {
            Ok(Some(answer)) => answer,
            Ok(None) | Err(_) => reply::lost(),
        }
    }

    async fn execute(&self, function: Function, key: AttemptKey, body: &[u8]) -> Response {
        let faults = self.faults.get();
        if faults.silent {
            return self.processor.hang(Resources::default()).await;
        }
        if faults.fails(key.task.job, key.task.index) {
            return self.fail(key, StatusCode::INTERNAL_SERVER_ERROR, "executor fails");
        }
        match self.run_to_end(function, body).await {
            Ok(answer) => self.answer(key, answer),
            Err(e @ TaskError::Failed) => {
                self.fail(key, StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
            }
            Err(e) => self.fail(key, StatusCode::UNPROCESSABLE_ENTITY, &e.to_string()),
        }
    }

    async fn run_to_end(&self, function: Function, body: &[u8]) -> Result<Value, TaskError> {
        let task = Task::parse(function, body, self.default_run_ms)?;
        let control = TaskControl::new(task.nominal());
        let faults = self.faults.watch();
        task.run(&self.processor, Resources::default(), &control, faults, &self.answers).await
    }

    fn answer(&self, key: AttemptKey, answer: Value) -> Response {
        self.starts.record_finish(key);
        if self.faults.update_if(|f| reply::count_down(&mut f.lose_answers)) {
            return reply::lost();
        }
        Json(answer).into_response()
    }

    fn fail(&self, key: AttemptKey, status: StatusCode, error: &str) -> Response {
        self.starts.record_finish(key);
        reply::failed(status, error)
    }
}
