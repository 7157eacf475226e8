use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    task::JoinHandle,
    time::{sleep, timeout},
};
use types::StepError;

use super::run_ledger::RunLedger;
use crate::{connections::Connections, server::Server};

/// Longest lease.
const MAX_LEASE: Duration = Duration::from_millis(1_000);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);
/// Longest time for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

types::plain! {
    /// An executor.
    #[derive(Eq)]
    pub struct FakeExecutorSettings {
        /// Its name.
        pub id: String,
        /// Its pool.
        pub pool: String,
        /// Its availability zone.
        pub zone: String,
        /// Processor time, thousandths of a core.
        pub milli_cores: u32,
        /// How long each task runs, milliseconds.
        pub run_ms: u64,
    }

    /// What an executor does wrong.
    #[derive(Copy, Eq, Default)]
    pub struct FakeExecutorFaults {
        /// It takes calls and answers none.
        pub is_unresponsive: bool,
        /// This many of the next starts are not answered and carried out late.
        pub late_starts: u32,
        /// Everything that it runs ends failed.
        pub fails_all: bool,
        /// It says that it leaves.
        pub is_draining: bool,
    }
}

/// Stand-in of an executor on a machine with an agent.
#[derive(Debug)]
pub struct FakeExecutor {
    server: Server,
    shared: Arc<Shared>,
    heartbeats: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: FakeExecutorSettings,
    start: Instant,
    born: u64,
    ledger: RunLedger,
    state: Mutex<Runs>,
    faults: Mutex<FakeExecutorFaults>,
    ended: Notify,
}

#[derive(Debug, Default)]
struct Runs {
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, RunState>,
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    seen: u64,
}

#[derive(Debug)]
struct RunState {
    run: u64,
    entry: usize,
    ends_at: Instant,
}

impl FakeExecutor {
    /// Starts an executor on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub async fn start(
        settings: FakeExecutorSettings,
        ledger: RunLedger,
    ) -> Result<Self, StepError> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let shared = Arc::new(Shared {
            settings,
            start: Instant::now(),
            born: u64::try_from(born).unwrap_or(0),
            ledger,
            state: Mutex::default(),
            faults: Mutex::default(),
            ended: Notify::new(),
        });
        let router = Router::new()
            .route("/-/run-start", post(run_start))
            .route("/-/run-stop", post(run_stop))
            .route("/-/hold", post(hold))
            .with_state(Arc::clone(&shared));
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(addr, router, Arc::new(Connections::new())).await?;
        let heartbeats = tokio::spawn(run_tasks(Arc::clone(&shared)));
        Ok(Self { server, shared, heartbeats })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sends heartbeats to the agent at `control` until the executor or the task is dropped.
    pub fn announce(&self, control: SocketAddr) -> JoinHandle<()> {
        tokio::spawn(announce(Arc::clone(&self.shared), self.addr(), control))
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        lock(&self.shared.state).running.len()
    }

    /// Sets what it does wrong from now on.
    pub fn set_faults(&self, faults: FakeExecutorFaults) {
        *lock(&self.shared.faults) = faults;
    }
}

impl Drop for FakeExecutor {
    fn drop(&mut self) {
        self.heartbeats.abort();
        let runs = std::mem::take(&mut lock(&self.shared.state).running);
        runs.values().for_each(|run| self.shared.ledger.ended(run.entry, false));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Shared {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX) + 1
    }

    /// Ends what is done, and everything when the lease has ended.
    fn advance(&self) {
        let now = Instant::now();
        let clock_ms = self.clock_ms();
        let mut state = lock(&self.state);
        let is_lapsed = clock_ms >= state.lease_until;
        let how = if lock(&self.faults).fails_all { "failed" } else { "done" };
        let over = |run: &RunState| is_lapsed || run.ends_at <= now;
        let names: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| over(run))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let is_done = state.running.get(&name).is_some_and(|run| run.ends_at <= now);
            let how = if is_done { how } else { "lapsed" };
            self.end(&mut state, &name, how);
        }
    }

    fn end(&self, state: &mut Runs, name: &str, how: &'static str) {
        let Some(run) = state.running.remove(name) else { return };
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, name.to_owned(), run.run, how));
        self.ledger.ended(run.entry, how == "done");
        self.ended.notify_waiters();
    }

    fn answer(&self, status: StatusCode, reason: Option<&str>) -> Response {
        let mut body = json!({ "clockMs": self.clock_ms(), "born": self.born });
        if let Some(reason) = reason {
            body["reason"] = reason.into();
        }
        (status, Json(body)).into_response()
    }

    fn begin(&self, body: &Value) -> Response {
        self.advance();
        let clock_ms = self.clock_ms();
        let whole = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
        let Some(task) = body.get("task").and_then(Value::as_str) else {
            return self.answer(StatusCode::BAD_REQUEST, None);
        };
        let mut state = lock(&self.state);
        if whole("fencingToken") < state.token {
            return self.answer(StatusCode::CONFLICT, Some("fence"));
        }
        state.token = whole("fencingToken");
        let until = whole("deadlineMs");
        if until <= clock_ms {
            return self.answer(StatusCode::CONFLICT, Some("late"));
        }
        let run = whole("run");
        if state.running.get(task).is_some_and(|known| known.run == run) {
            return self.answer(StatusCode::OK, None);
        }
        if state.highest.get(task).is_some_and(|highest| run <= *highest) {
            return self.answer(StatusCode::CONFLICT, Some("old"));
        }
        let longest = clock_ms + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(0);
        state.lease_until = state.lease_until.max(until.min(longest));
        state.highest.insert(task.to_owned(), run);
        let entry = self.ledger.started(task, &self.settings.id);
        let ends_at = Instant::now() + Duration::from_millis(self.settings.run_ms);
        state.running.insert(task.to_owned(), RunState { run, entry, ends_at });
        self.answer(StatusCode::OK, None)
    }

    fn lists(&self, last_seen: u64) -> (Value, bool) {
        let mut state = lock(&self.state);
        state.seen = state.seen.max(last_seen);
        let seen = state.seen;
        state.ended.retain(|(number, ..)| *number > seen);
        let running: Vec<Value> =
            state.running.iter().map(|(task, run)| json!([task, run.run, "", 0])).collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let has_ends = !ended.is_empty();
        let body = json!({ "clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": ended });
        (body, has_ends)
    }

    async fn hang_if_unresponsive(&self) {
        if lock(&self.faults).is_unresponsive {
            std::future::pending::<()>().await;
        }
    }
}

/// Period in which runs are ended.
const STEP: Duration = Duration::from_millis(5);

async fn run_tasks(shared: Arc<Shared>) {
    loop {
        sleep(STEP).await;
        shared.advance();
    }
}

async fn run_start(State(shared): State<Arc<Shared>>, Json(body): Json<Value>) -> Response {
    shared.hang_if_unresponsive().await;
    let is_late = {
        let mut faults = lock(&shared.faults);
        let is_late = faults.late_starts > 0;
        faults.late_starts = faults.late_starts.saturating_sub(1);
        is_late
    };
    if is_late {
        let late = Arc::clone(&shared);
        tokio::spawn(async move {
            sleep(Duration::from_millis(2_000)).await;
            late.begin(&body);
        });
        std::future::pending::<()>().await;
        unreachable!("a future that never ends has ended");
    }
    shared.begin(&body)
}

async fn run_stop(State(shared): State<Arc<Shared>>, Json(body): Json<Value>) -> Response {
    shared.hang_if_unresponsive().await;
    shared.advance();
    let whole = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
    let task = body.get("task").and_then(Value::as_str).unwrap_or("").to_owned();
    let mut state = lock(&shared.state);
    if whole("fencingToken") < state.token {
        return shared.answer(StatusCode::CONFLICT, Some("fence"));
    }
    state.token = whole("fencingToken");
    let highest = state.highest.entry(task.clone()).or_insert(0);
    *highest = (*highest).max(whole("run"));
    if state.running.get(&task).is_some_and(|known| known.run <= whole("run")) {
        shared.end(&mut state, &task, "stopped");
    }
    shared.answer(StatusCode::OK, None)
}

async fn hold(State(shared): State<Arc<Shared>>, Json(body): Json<Value>) -> Response {
    shared.hang_if_unresponsive().await;
    shared.advance();
    let whole = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
    {
        let mut state = lock(&shared.state);
        if whole("fencingToken") < state.token {
            return shared.answer(StatusCode::CONFLICT, Some("fence"));
        }
        state.token = whole("fencingToken");
        let longest = shared.clock_ms() + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(0);
        state.lease_until = state.lease_until.max(whole("deadlineMs").min(longest));
    }
    let last_seen = whole("lastSeen");
    let waiting = async {
        loop {
            let ended = shared.ended.notified();
            let (lists, has_ends) = shared.lists(last_seen);
            if has_ends {
                return lists;
            }
            ended.await;
        }
    };
    let lists = timeout(Duration::from_millis(whole("waitMs")), waiting).await;
    Json(lists.unwrap_or_else(|_| shared.lists(last_seen).0)).into_response()
}

async fn announce(shared: Arc<Shared>, own: SocketAddr, control: SocketAddr) {
    let mut seq = 0;
    loop {
        seq += 1;
        let state = if lock(&shared.faults).is_draining { "draining" } else { "ready" };
        let settings = &shared.settings;
        let body = json!({
            "service": settings.pool, "address": own.to_string(), "zone": settings.zone,
            "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
            "capacity": { "cpu": settings.milli_cores, "memMb": 65_536, "gpu": 0 },
            "labels": ["a", "r1"], "clockMs": shared.clock_ms(), "seq": seq, "born": shared.born,
        });
        let path = format!("/-/Instances.Heartbeat/{}", settings.id);
        let sent = timeout(HEARTBEAT_TIMEOUT, post_json(control, &path, &body.to_string())).await;
        if !matches!(sent, Ok(Ok(()))) {
            log::debug!("heartbeat of {} was not acknowledged", settings.id);
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Posts a body over a connection of its own, as an executor after a failure does.
async fn post_json(addr: SocketAddr, path: &str, body: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(())
}
