use axum::{
    Json,
    http::{StatusCode, header},
    response::{IntoResponse, Response},
};
use serde_json::{Value, json};
use types::{JobId, KindName};

types::wire! {
    /// Body of a submission.
    pub(crate) struct SubmitBody {
        pub(crate) id: JobId,
        pub(crate) kind: KindName,
        pub(crate) deadline_ms: u64,
        pub(crate) tasks: Vec<Value>,
    }
}

pub(crate) fn complete(id: JobId, answers: &[Value]) -> Response {
    Json(json!({ "id": id, "status": "complete", "answers": answers })).into_response()
}

pub(crate) fn failed(id: JobId, reason: &str) -> Response {
    let body = json!({ "id": id, "status": "failed", "reason": reason, "not_run": false });
    Json(body).into_response()
}

pub(crate) fn unknown_service() -> Response {
    let problem = json!({
        "type": "/problems/unknown-service",
        "title": "unknown service",
        "status": StatusCode::NOT_FOUND.as_u16(),
        "detail": "no upstream of the service",
        "not_run": true,
    });
    let content_type = [(header::CONTENT_TYPE, "application/problem+json")];
    (StatusCode::NOT_FOUND, content_type, Json(problem)).into_response()
}
