use axum::{
    Json,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use rpc::JobStatus;
use serde::Serialize;
use serde_json::value::RawValue;
use types::{JobId, JobOutcome};

/// Body of a reply about a job.
#[derive(Serialize)]
pub(crate) struct JobBody {
    id: JobId,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    answers: Option<Vec<Box<RawValue>>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    not_run: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    tasks: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answered: Option<u32>,
}

impl JobBody {
    fn empty(id: JobId, status: &'static str) -> Self {
        Self { id, status, answers: None, reason: None, not_run: None, tasks: None, answered: None }
    }

    pub(crate) fn new(id: JobId, status: JobStatus) -> Self {
        match status {
            JobStatus::Accepted { tasks, answered } => {
                Self { tasks: Some(tasks), answered: Some(answered), ..Self::empty(id, "accepted") }
            }
            JobStatus::Finished(JobOutcome::Complete { answers }) => {
                let raw = answers.into_iter().map(|answer| raw_value(answer.payload.as_str()));
                Self { answers: Some(raw.collect()), ..Self::empty(id, "complete") }
            }
            JobStatus::Finished(JobOutcome::Failed { failure, not_run }) => Self {
                reason: Some(failure.to_string()),
                not_run: Some(not_run),
                ..Self::empty(id, "failed")
            },
        }
    }

    fn http_status(&self) -> StatusCode {
        if self.status == "accepted" { StatusCode::ACCEPTED } else { StatusCode::OK }
    }
}

/// Converts an answer to raw JSON.  Text that is not JSON becomes a JSON string.
fn raw_value(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned())
        .or_else(|_| serde_json::value::to_raw_value(text))
        .unwrap_or_else(|_| RawValue::NULL.to_owned())
}

impl IntoResponse for JobBody {
    fn into_response(self) -> Response {
        (self.http_status(), Json(self)).into_response()
    }
}
