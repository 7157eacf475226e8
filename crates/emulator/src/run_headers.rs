use std::str::FromStr;

use axum::http::HeaderMap;
use types::{AttemptKey, AttemptNumber, TaskIndex, TaskKey};

/// Reads the key of the attempt from the headers of a request to run a task. The error names
/// the header that is missing or malformed.
pub(crate) fn attempt_key(headers: &HeaderMap) -> Result<AttemptKey, String> {
    let job = parse(headers, "x-job-id")?;
    let index = TaskIndex(parse(headers, "x-task-index")?);
    let attempt = AttemptNumber(parse(headers, "x-attempt")?);
    Ok(AttemptKey { task: TaskKey { job, index }, attempt })
}

/// Returns the W3C trace context of a request, if there is one.
pub(crate) fn traceparent(headers: &HeaderMap) -> Option<String> {
    text(headers, "traceparent").map(str::to_owned)
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, String> {
    text(headers, name)
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| format!("header {name} is missing or malformed"))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
