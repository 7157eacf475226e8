use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde_json::json;
use tokio::{sync::Notify, time::timeout};
use types::StepError;

use super::call_rate::CallRate;
use crate::{connections::Connections, server::Server};

const OPERATOR_TOPIC: &str = "keyed.op";
const OPERATOR_KEY: &str = "config";

types::plain! {
    /// Calls a second that the store takes.
    #[derive(Copy, Eq)]
    pub struct StandInStoreRates {
        /// Appends.
        pub writes: u32,
        /// Reads.
        pub reads: u32,
    }

    /// What the store does wrong.
    #[derive(Copy, Eq, Default)]
    pub struct StandInStoreFaults {
        /// It refuses every call.
        pub is_busy: bool,
        /// It takes calls and answers none.
        pub is_silent: bool,
        /// It does what it is told and does not answer appends.
        pub loses_answers: bool,
    }
}

impl Default for StandInStoreRates {
    fn default() -> Self {
        Self { writes: 800, reads: 2_000 }
    }
}

/// Stand-in of the platform's store: topics with keys, each with one partition.
#[derive(Debug)]
pub struct StandInStore {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    faults: Mutex<StandInStoreFaults>,
    writes: Mutex<CallRate>,
    reads: Mutex<CallRate>,
    changed: Notify,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct ReadQuery {
    topic: String,
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl StandInStore {
    /// Starts a store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub async fn start(rates: StandInStoreRates) -> Result<Self, StepError> {
        let shared = Arc::new(Shared {
            topics: Mutex::default(),
            faults: Mutex::default(),
            writes: Mutex::new(CallRate::new(rates.writes)),
            reads: Mutex::new(CallRate::new(rates.reads)),
            changed: Notify::new(),
        });
        let router = Router::new()
            .route("/-/log-append", post(append))
            .route("/-/log-read", get(read))
            .route("/-/log-newest", get(newest))
            .with_state(Arc::clone(&shared));
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(addr, router, Arc::new(Connections::new())).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, config: &serde_json::Value) {
        self.shared.add(OPERATOR_TOPIC, OPERATOR_KEY.into(), config.to_string().into_bytes());
    }

    /// Drops the history of every topic but the newest record of each key.
    pub fn forget_history(&self) {
        for topic in lock(&self.shared.topics).values_mut() {
            topic.first += topic.records.len() as u64;
            topic.records.clear();
        }
        self.shared.changed.notify_waiters();
    }

    /// Sets what it does wrong from now on.
    pub fn set_faults(&self, faults: StandInStoreFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns how many appends and reads were made, refused ones among them.
    pub fn calls(&self) -> (u64, u64) {
        (lock(&self.shared.writes).total, lock(&self.shared.reads).total)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Shared {
    fn add(&self, topic: &str, key: Vec<u8>, value: Vec<u8>) -> u64 {
        let mut topics = lock(&self.topics);
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.first + topic.records.len() as u64;
        topic.newest.insert(key.clone(), (value.clone(), offset));
        topic.records.push((key, value));
        drop(topics);
        self.changed.notify_waiters();
        offset
    }

    /// Refuses or swallows a call as the faults and the rate say.
    async fn check(&self, rate: &Mutex<CallRate>) -> Result<(), Response> {
        let is_within = lock(rate).take();
        let faults = *lock(&self.faults);
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        if faults.is_busy {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        if !is_within {
            return Err(StatusCode::TOO_MANY_REQUESTS.into_response());
        }
        Ok(())
    }

    fn page(&self, query: &ReadQuery) -> Option<Response> {
        let topics = lock(&self.topics);
        let none = Topic::default();
        let topic = topics.get(&query.topic).unwrap_or(&none);
        if query.from < topic.first {
            let body = Json(json!({ "first": topic.first }));
            return Some((StatusCode::GONE, body).into_response());
        }
        let skip = usize::try_from(query.from - topic.first).unwrap_or(usize::MAX);
        if skip >= topic.records.len() {
            return None;
        }
        let end = topic.first + topic.records.len() as u64;
        let mut raw = Vec::new();
        raw.extend(end.to_be_bytes());
        raw.extend(topic.first.to_be_bytes());
        for (key, value) in &topic.records[skip..] {
            let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX);
            raw.extend(length.to_be_bytes());
            raw.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
            raw.extend(key);
            raw.extend(value);
        }
        Some(raw.into_response())
    }
}

async fn append(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<ReadQuery>,
    body: Bytes,
) -> Response {
    if let Err(refused) = shared.check(&shared.writes).await {
        return refused;
    }
    if query.topic == OPERATOR_TOPIC {
        return StatusCode::FORBIDDEN.into_response();
    }
    let Some((key, value)) = decode_record(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let offset = shared.add(&query.topic, key, value);
    if lock(&shared.faults).loses_answers {
        std::future::pending::<()>().await;
    }
    Json(json!({ "offset": offset, "end": offset + 1 })).into_response()
}

fn decode_record(body: &[u8]) -> Option<(Vec<u8>, Vec<u8>)> {
    let (length, content) = body.split_first_chunk::<4>()?;
    let content = content.get(..usize::try_from(u32::from_be_bytes(*length)).ok()?)?;
    let (key_length, content) = content.split_first()?;
    let (key, value) = content.split_at_checked(usize::from(*key_length))?;
    Some((key.to_vec(), value.to_vec()))
}

async fn read(State(shared): State<Arc<Shared>>, Query(query): Query<ReadQuery>) -> Response {
    if let Err(refused) = shared.check(&shared.reads).await {
        return refused;
    }
    let waiting = async {
        loop {
            let changed = shared.changed.notified();
            if let Some(page) = shared.page(&query) {
                return page;
            }
            changed.await;
        }
    };
    let page = timeout(Duration::from_millis(query.wait_ms), waiting).await;
    page.unwrap_or_else(|_| {
        let mut raw = query.from.to_be_bytes().to_vec();
        raw.extend(0_u64.to_be_bytes());
        raw.into_response()
    })
}

async fn newest(State(shared): State<Arc<Shared>>, Query(query): Query<ReadQuery>) -> Response {
    use base64::{Engine, engine::general_purpose::STANDARD};
    if let Err(refused) = shared.check(&shared.reads).await {
        return refused;
    }
    let topics = lock(&shared.topics);
    let none = Topic::default();
    let topic = topics.get(&query.topic).unwrap_or(&none);
    let item = |(key, (value, offset)): (&Vec<u8>, &(Vec<u8>, u64))| {
        let key = String::from_utf8_lossy(key);
        json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
    };
    let items: Vec<_> = topic.newest.iter().map(item).collect();
    let end = topic.first + topic.records.len() as u64;
    Json(json!({ "items": items, "hasMore": false, "end": end })).into_response()
}
