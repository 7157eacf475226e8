//! Handlers of the HTTP requests of the upstream on this machine.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    header::{CONNECTION, HeaderValue},
};
use intake::{BodyLimits, Intake, RequestBody, read_body};
use platform::{UpstreamRequest, decode_upstream_request, encode_error};

use crate::{agent::state::AgentState, http::HttpResponse};

/// Largest heartbeat that the platform allows, bytes.
const MAX_HEARTBEAT_BYTES: usize = 4 << 20;
/// Most bytes of all heartbeats that are not complete: two of the largest.
pub(super) const MAX_REQUEST_BYTES: usize = 2 * MAX_HEARTBEAT_BYTES;
/// Longest time for a heartbeat to be complete.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request.
pub(crate) async fn handle(
    state: Rc<AgentState>,
    intake: Arc<Intake>,
    req: Request<RequestBody>,
) -> HttpResponse {
    let (head, mut body) = req.into_parts();
    let limits = BodyLimits { bytes: MAX_HEARTBEAT_BYTES, time: HEARTBEAT_TIMEOUT };
    let received = match read_body(&intake, &mut body, limits).await {
        Ok(received) => received,
        Err(e) => {
            let mut response = error_response(e.status(), &e.to_string());
            if e.closes_connection() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            return response;
        }
    };
    match decode_upstream_request(head.method.as_str(), head.uri.path(), received.bytes()) {
        Some(UpstreamRequest::Heartbeat { upstream, seq }) => {
            state.on_heartbeat(upstream, seq);
            Response::new(Full::new(Bytes::from_static(b"{}")))
        }
        Some(UpstreamRequest::Deregister { id }) => {
            state.on_upstream_leaving(&id);
            Response::new(Full::new(Bytes::from_static(b"{}")))
        }
        Some(UpstreamRequest::Malformed { reason }) => {
            log::warn!("rejecting a heartbeat of the upstream: {reason}");
            error_response(400, reason)
        }
        None => error_response(404, "no such call"),
    }
}

fn error_response(status: u16, error: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(encode_error(status, error).body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    response
}
