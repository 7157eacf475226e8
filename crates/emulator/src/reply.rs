use std::io;

use axum::{
    Json,
    body::Body,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use futures::stream;
use ports::ErrorBody;

/// Returns an error response that guarantees that nothing was done.
pub(crate) fn not_run(status: StatusCode, error: impl Into<String>) -> Response {
    (status, Json(ErrorBody { error: error.into(), not_run: true })).into_response()
}

/// Returns an error response to work that was started.
pub(crate) fn failed(status: StatusCode, error: impl Into<String>) -> Response {
    (status, Json(ErrorBody { error: error.into(), not_run: false })).into_response()
}

/// Returns a lost response: the connection closes before the body is complete.
pub(crate) fn lost() -> Response {
    let broken =
        stream::once(async { Err::<String, _>(io::Error::from(io::ErrorKind::BrokenPipe)) });
    Body::from_stream(broken).into_response()
}

/// Never completes, so that the request gets no response.
pub(crate) async fn silent() -> Response {
    std::future::pending().await
}

/// Decrements a count of operations that are still to fail; returns whether it was above zero.
pub(crate) fn count_down(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}
