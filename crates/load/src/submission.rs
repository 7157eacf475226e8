use serde::Serialize;
use serde_json::{Map, Value, json};
use types::{JobId, Peer, StepError};

use crate::{PlannedJob, StreamPlan};

/// A job as it is sent, with the fields by which its answers are verified.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) id: JobId,
    pub(crate) body: String,
    pub(crate) tasks: usize,
}

#[derive(Serialize)]
struct SubmitBody<'a> {
    id: JobId,
    kind: &'a str,
    deadline_ms: u64,
    tasks: Vec<Map<String, Value>>,
}

impl Submission {
    /// Creates the submission of a planned job whose id carries a creation time in Unix
    /// milliseconds.
    pub(crate) fn new(
        stream: &StreamPlan,
        job: &PlannedJob,
        created_ms: u64,
    ) -> Result<Self, StepError> {
        let id = JobId::from_parts(created_ms, job.id);
        let tasks = (0..job.run_ms.len()).map(|index| payload(stream, job, id, index)).collect();
        let body =
            SubmitBody { id, kind: stream.kind.as_str(), deadline_ms: stream.deadline_ms, tasks };
        let body = serde_json::to_string(&body)
            .map_err(|e| StepError::new("encoding a job", Peer::Local, e))?;
        Ok(Self { id, body, tasks: job.run_ms.len() })
    }

    /// Returns whether the answers belong to the tasks of this job, in order.
    pub(crate) fn is_answered_by(&self, answers: &[Value]) -> bool {
        let is_own = |(index, answer): (usize, &Value)| {
            answer.get("echo").and_then(Value::as_str) == Some(echo(self.id, index).as_str())
        };
        answers.len() == self.tasks && answers.iter().enumerate().all(is_own)
    }
}

fn payload(stream: &StreamPlan, job: &PlannedJob, id: JobId, index: usize) -> Map<String, Value> {
    let mut payload = stream.payload.clone();
    payload.insert("run_ms".to_owned(), json!(job.run_ms[index]));
    payload.insert("echo".to_owned(), json!(echo(id, index)));
    if job.failing_task == u32::try_from(index).ok() {
        payload.insert("fail".to_owned(), json!(true));
    }
    payload
}

fn echo(id: JobId, index: usize) -> String {
    format!("{id}/{index}")
}
