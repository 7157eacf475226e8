use std::io;

use axum::{
    Json,
    body::Body,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use futures::stream;
use ports::ErrorBody;

/// An error answer that says that nothing was done.
pub(crate) fn not_run(status: StatusCode, error: impl Into<String>) -> Response {
    (status, Json(ErrorBody { error: error.into(), not_run: true })).into_response()
}

/// An error answer to work that was started.
pub(crate) fn failed(status: StatusCode, error: impl Into<String>) -> Response {
    (status, Json(ErrorBody { error: error.into(), not_run: false })).into_response()
}

/// An answer that breaks off: the connection closes before the answer is whole.
pub(crate) fn lost() -> Response {
    let broken =
        stream::once(async { Err::<String, _>(io::Error::from(io::ErrorKind::BrokenPipe)) });
    Body::from_stream(broken).into_response()
}

/// Never answers.
pub(crate) async fn silent() -> Response {
    std::future::pending().await
}

/// Takes one from a count of coming operations; returns whether there was one.
pub(crate) fn count_down(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}
