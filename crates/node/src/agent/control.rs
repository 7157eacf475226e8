//! Calls of the upstream on this machine.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use platform::{UpstreamRequest, decode_upstream_request, encode_error};

use crate::{agent::state::AgentState, http_server::Answer};

/// Most bytes of a heartbeat, as the platform states it.
const MAX_HEARTBEAT_BYTES: usize = 4 << 20;

/// Answers one call.
pub(crate) async fn answer(state: Rc<AgentState>, req: Request<Incoming>) -> Answer {
    let (head, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await else {
        return with_status(400, "the body cannot be read");
    };
    match decode_upstream_request(head.method.as_str(), head.uri.path(), &body.to_bytes()) {
        Some(UpstreamRequest::Heartbeat { upstream, seq }) => {
            state.heartbeat(upstream, seq);
            Response::new(Full::new(Bytes::from_static(b"{}")))
        }
        Some(UpstreamRequest::Deregister { id }) => {
            state.upstream_leaves(&id);
            Response::new(Full::new(Bytes::from_static(b"{}")))
        }
        Some(UpstreamRequest::Malformed { reason }) => {
            log::warn!("heartbeat of an upstream: {reason}");
            with_status(400, reason)
        }
        None => with_status(404, "no such call"),
    }
}

fn with_status(status: u16, error: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(encode_error(status, error).body)));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    answer
}
