use std::time::Duration;

use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};
use types::Resources;

use crate::{
    FaultSet, Processor, TaskControl,
    answers::{AnswerError, AnswerState, Function},
    run_options::RunOptions,
    task_error::TaskError,
};

/// Longest nominal run time of a task in milliseconds; longer ones are reduced to it.
const MAX_RUN_MS: f64 = 3_600_000.0;

const MS_PER_S: f64 = 1_000.0;

/// A task with the options of its run.
#[derive(Debug)]
pub(crate) struct Task {
    function: Function,
    payload: Value,
    options: RunOptions,
    nominal: Duration,
}

impl Task {
    /// Parses a payload and the run options in it.
    ///
    /// # Errors
    ///
    /// When the payload is not a JSON document or an option has the wrong type.
    pub(crate) fn parse(
        function: Function,
        body: &[u8],
        default_run_ms: f64,
    ) -> Result<Self, TaskError> {
        let payload = serde_json::from_slice(body).map_err(AnswerError::Payload)?;
        let options: RunOptions = serde_json::from_slice(body).map_err(AnswerError::Payload)?;
        let run_ms = options.run_ms.unwrap_or(default_run_ms).clamp(0.0, MAX_RUN_MS);
        Ok(Self { function, payload, options, nominal: Duration::from_secs_f64(run_ms / MS_PER_S) })
    }

    /// Returns the nominal run time.
    pub(crate) fn nominal(&self) -> Duration {
        self.nominal
    }

    /// Returns the resources that the run uses, which are the declared ones unless the payload
    /// states others.
    pub(crate) fn demand(&self, declared: Resources) -> Resources {
        self.options.uses.unwrap_or(declared)
    }

    /// Runs the task to its end and returns its answer.
    pub(crate) async fn run<F: FaultSet>(
        self,
        processor: &Processor,
        demand: Resources,
        control: &TaskControl,
        faults: watch::Receiver<F>,
        state: &AnswerState,
    ) -> Result<Value, TaskError> {
        let start = Instant::now();
        processor.run(demand, control, faults).await;
        let ran_ms = start.elapsed().as_secs_f64() * MS_PER_S;
        if self.options.fail {
            return Err(TaskError::Failed);
        }
        let mut answer = self.function.answer(self.payload, state)?;
        if let (Some(echo), Some(fields)) = (self.options.echo, answer.as_object_mut()) {
            fields.insert("echo".to_owned(), echo);
            fields.insert("ran_ms".to_owned(), json!(ran_ms));
        }
        Ok(answer)
    }
}
