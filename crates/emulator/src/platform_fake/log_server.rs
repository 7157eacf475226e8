use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use ports::{LogRecord, Offset, StreamName};
use serde_json::json;
use types::StepError;

use crate::{
    FaultControl, LogFaults, LogSettings,
    connections::Connections,
    log_state::{LogState, Page},
    log_store::Content,
    reply,
    server::Server,
};

/// Prefix of the names of streams whose records have keys.
const KEYED_PREFIX: &str = "keyed.";
/// The stream that only the operator writes.
const OPERATOR_STREAM: &str = "keyed.op";
/// The key of the configuration in the operator's stream.
const CONFIGURATION_KEY: &str = "config";

/// A fake of the platform's store: append-only streams in memory behind the published protocol.
#[derive(Debug)]
pub struct LogServer {
    server: Server,
    state: Arc<LogState>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct CallQuery {
    topic: String,
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl LogServer {
    /// Starts a store on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(settings: LogSettings, addr: SocketAddr) -> Result<Self, StepError> {
        let connections = Arc::new(Connections::new());
        let faults = FaultControl::new(Arc::clone(&connections));
        let state = Arc::new(LogState::new(settings, faults.clone()));
        let router = Router::new()
            .route("/-/log-append", post(append))
            .route("/-/log-read", get(read))
            .route("/-/log-newest", get(newest))
            .with_state(Arc::clone(&state))
            .merge(faults.router());
        let server = Server::start(addr, router, connections).await?;
        Ok(Self { server, state })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL for a client of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Returns the handle that changes its faults.
    pub fn faults(&self) -> FaultControl<LogFaults> {
        self.state.faults().clone()
    }

    /// Returns the retained records of a stream.
    pub fn records(&self, stream: &StreamName) -> Vec<LogRecord> {
        self.state.records(stream)
    }

    /// Returns the number of appends that took effect, over all streams.
    pub fn appends(&self) -> u64 {
        self.state.appends()
    }

    /// Writes the operator's configuration; the current faults don't apply to it.
    pub fn put_config(&self, config: &serde_json::Value) {
        self.put_operator_record(CONFIGURATION_KEY, config.to_string().as_bytes());
    }

    /// Writes a record of the operator, as [`LogServer::put_config`]; an empty value removes the key.
    pub fn put_operator_record(&self, key: &str, value: &[u8]) {
        let stream = StreamName::from_text(OPERATOR_STREAM);
        self.state.store_record(&stream, Content::keyed(key.as_bytes(), value));
    }

    /// Drops the records of every stream; the newest value of each key is retained.
    pub fn discard_history(&self) {
        self.state.discard_history();
    }

    /// Closes the port and resets every connection.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn append(
    State(state): State<Arc<LogState>>,
    Query(query): Query<CallQuery>,
    body: Bytes,
) -> Response {
    if query.topic == OPERATOR_STREAM {
        return reply::not_run(StatusCode::FORBIDDEN, "only the operator writes here");
    }
    let is_keyed = query.topic.starts_with(KEYED_PREFIX);
    let Some(content) = decode_record(&body).and_then(|raw| Content::decode(raw, is_keyed)) else {
        return reply::not_run(StatusCode::BAD_REQUEST, "the body is not one record");
    };
    match state.append(&StreamName::from_text(&query.topic), content).await {
        Ok(Offset(offset)) => Json(json!({ "offset": offset, "end": offset + 1 })).into_response(),
        Err(answer) => answer,
    }
}

async fn read(State(state): State<Arc<LogState>>, Query(query): Query<CallQuery>) -> Response {
    let stream = StreamName::from_text(&query.topic);
    match state.read(&stream, query.from, query.wait_ms).await {
        Ok(page) if page.oldest > query.from => {
            (StatusCode::GONE, Json(json!({ "first": page.oldest }))).into_response()
        }
        Ok(page) => encode_page(&page).into_response(),
        Err(answer) => answer,
    }
}

async fn newest(State(state): State<Arc<LogState>>, Query(query): Query<CallQuery>) -> Response {
    let stream = StreamName::from_text(&query.topic);
    match state.newest(&stream).await {
        Ok((rows, end)) => {
            let item = |(key, value, offset): &(Vec<u8>, Vec<u8>, u64)| {
                let key = String::from_utf8_lossy(key);
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            };
            let items: Vec<_> = rows.iter().map(item).collect();
            Json(json!({ "items": items, "hasMore": false, "end": end })).into_response()
        }
        Err(answer) => answer,
    }
}

/// Decodes the only record of an append, which is its length in four bytes and its content;
/// returns `None` when the body is longer or shorter.
fn decode_record(body: &[u8]) -> Option<&[u8]> {
    let (length, content) = body.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
    Some(content).filter(|content| content.len() == length)
}

fn encode_page(page: &Page) -> Vec<u8> {
    let mut raw = Vec::new();
    raw.extend(page.end.to_be_bytes());
    raw.extend(page.oldest.to_be_bytes());
    for record in &page.records {
        raw.extend(u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
        raw.extend(record);
    }
    raw
}
