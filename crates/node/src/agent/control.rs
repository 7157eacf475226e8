//! Handlers of the HTTP requests of the upstream on this machine.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use platform::{UpstreamRequest, decode_upstream_request, encode_error};

use crate::{agent::state::AgentState, http_server::HttpResponse};

/// Largest heartbeat that the platform allows, bytes.
const MAX_HEARTBEAT_BYTES: usize = 4 << 20;

/// Handles one request.
pub(crate) async fn handle(state: Rc<AgentState>, req: Request<Incoming>) -> HttpResponse {
    let (head, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await else {
        return error_response(400, "the body cannot be read");
    };
    match decode_upstream_request(head.method.as_str(), head.uri.path(), &body.to_bytes()) {
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
