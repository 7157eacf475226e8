use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
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

/// Longest lease that an executor grants; a later deadline is shortened to it.
const MAX_LEASE: Duration = Duration::from_millis(1_000);
/// Period of the heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);
/// How long an executor that has crashed is down.
const CRASH_DOWN: Duration = Duration::from_millis(300);
/// Longest time to wait for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

types::plain! {
    /// Settings of a [`FakeExecutor`].
    #[derive(Eq)]
    pub struct FakeExecutorSettings {
        /// Name of the executor.
        pub id: String,
        /// Pool to which it belongs.
        pub pool: String,
        /// Availability zone.
        pub zone: String,
        /// Processor capacity in thousandths of a core.
        pub milli_cores: u32,
        /// Run time of a task in milliseconds, unless its payload is `run_ms=N`.
        pub run_ms: u64,
    }

    /// Faults of a [`FakeExecutor`].
    #[derive(Copy, Eq, Default)]
    pub struct FakeExecutorFaults {
        /// It accepts requests and responds to none.
        pub is_unresponsive: bool,
        /// Number of further starts that get no response and take effect late, after 2 seconds.
        pub late_starts: u32,
        /// Share of starts and stops, percent, that get no response and take effect late, after 2
        /// seconds.
        pub late_percent: u64,
        /// Every run that completes is reported as failed.
        pub fails_all: bool,
        /// Its heartbeats report that it is draining.
        pub is_draining: bool,
        /// Start of the names of tasks that crash it when they start. It loses all its runs and is
        /// back as another incarnation after 300 ms.
        pub crashed_by: Option<&'static str>,
        /// Time from a stop until the run has ended, milliseconds.
        pub stop_ms: u64,
        /// What its lists show of a run during this time.
        pub stopping_runs: StoppingRuns,
    }

    /// What the lists of an executor show of runs that are being stopped.
    #[derive(Copy, Eq, Default)]
    pub enum StoppingRuns {
        /// They are listed as running.
        #[default]
        Running,
        /// They are listed neither as running nor as ended.
        Unlisted,
    }
}

/// A fake of an executor on the same machine as an agent.
#[derive(Debug)]
pub struct FakeExecutor {
    server: Server,
    shared: Arc<Shared>,
    advancing: JoinHandle<()>,
}

/// State that the request handlers and the background tasks share.
#[derive(Debug)]
struct Shared {
    settings: FakeExecutorSettings,
    connections: Arc<Connections>,
    lifetime: Mutex<Lifetime>,
    ledger: RunLedger,
    state: Mutex<RunTable>,
    faults: Mutex<FakeExecutorFaults>,
    /// Number of starts and stops so far.
    orders: AtomicU64,
    run_ended: Notify,
}

/// The present incarnation of an executor.
#[derive(Clone, Copy, Debug)]
struct Lifetime {
    start: Instant,
    /// Unix milliseconds.
    incarnation: u64,
    crashes: u32,
    is_down: bool,
}

/// The runs of an executor. Tasks are identified by name; a task may have several runs, whose
/// numbers increase.
#[derive(Debug, Default)]
struct RunTable {
    /// Highest fencing token received; requests with a lower one are refused.
    fencing_token: u64,
    /// Time on the executor's clock at which the lease expires, in milliseconds.
    lease_until: u64,
    running: BTreeMap<String, ActiveRun>,
    /// Runs that are being stopped, by task.
    stopping: Vec<(String, StoppingRun)>,
    /// Highest run number of each task; a start with this number or a lower one is refused.
    highest_run: BTreeMap<String, u64>,
    /// Ended runs that the agent has not acknowledged: number of the end, task, run and outcome.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end_number: u64,
    /// Highest number of an end that the agent has acknowledged.
    acknowledged: u64,
}

#[derive(Debug)]
struct ActiveRun {
    run: u64,
    ledger_index: usize,
    ends_at: Instant,
}

#[derive(Debug)]
struct StoppingRun {
    run: u64,
    ledger_index: usize,
    stopped_at: Instant,
}

impl RunTable {
    /// Removes all runs and returns their indices in the ledger.
    fn remove_all(&mut self) -> Vec<usize> {
        let running = std::mem::take(&mut self.running).into_values().map(|run| run.ledger_index);
        let stopping = std::mem::take(&mut self.stopping).into_iter();
        running.chain(stopping.map(|(_, run)| run.ledger_index)).collect()
    }
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
        let incarnation =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let connections = Arc::new(Connections::new());
        let shared = Arc::new(Shared {
            settings,
            connections: Arc::clone(&connections),
            lifetime: Mutex::new(Lifetime {
                start: Instant::now(),
                incarnation: u64::try_from(incarnation).unwrap_or(0),
                crashes: 0,
                is_down: false,
            }),
            ledger,
            state: Mutex::default(),
            faults: Mutex::default(),
            orders: AtomicU64::new(0),
            run_ended: Notify::new(),
        });
        let router = Router::new()
            .route("/-/run-start", post(run_start))
            .route("/-/run-stop", post(run_stop))
            .route("/-/hold", post(poll_runs))
            .with_state(Arc::clone(&shared));
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(addr, router, connections).await?;
        let advancing = tokio::spawn(advance_runs(Arc::clone(&shared)));
        Ok(Self { server, shared, advancing })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sends heartbeats to the agent at `control` from a task that runs until it is aborted.
    pub fn announce(&self, control: SocketAddr) -> JoinHandle<()> {
        tokio::spawn(announce(Arc::clone(&self.shared), self.addr(), control))
    }

    /// Returns the number of tasks in progress, including those that are being stopped.
    pub fn running(&self) -> usize {
        let state = lock(&self.shared.state);
        state.running.len() + state.stopping.len()
    }

    /// Returns how often it has crashed.
    pub fn crashes(&self) -> u32 {
        self.shared.lifetime().crashes
    }

    /// Replaces the current faults.
    pub fn set_faults(&self, faults: FakeExecutorFaults) {
        *lock(&self.shared.faults) = faults;
    }
}

impl Drop for FakeExecutor {
    fn drop(&mut self) {
        self.advancing.abort();
        let runs = lock(&self.shared.state).remove_all();
        runs.into_iter().for_each(|run| self.shared.ledger.record_end(run, false));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Shared {
    fn lifetime(&self) -> Lifetime {
        *lock(&self.lifetime)
    }

    /// Crashes if a task that is being started does so; returns whether it has crashed.
    fn crashes_under(self: &Arc<Self>, task: &str) -> bool {
        let crashed_by = lock(&self.faults).crashed_by;
        if !crashed_by.is_some_and(|prefix| task.starts_with(prefix)) {
            return false;
        }
        // A repeated start does not run the task a second time.
        if !lock(&self.state).running.contains_key(task) {
            let index = self.ledger.record_start(task, &self.settings.id);
            self.ledger.record_end(index, false);
        }
        let runs = std::mem::take(&mut *lock(&self.state)).remove_all();
        runs.into_iter().for_each(|run| self.ledger.record_end(run, false));
        {
            let mut lifetime = lock(&self.lifetime);
            lifetime.crashes += 1;
            lifetime.is_down = true;
        }
        self.connections.set_dead(true);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            sleep(CRASH_DOWN).await;
            {
                let mut lifetime = lock(&shared.lifetime);
                lifetime.start = Instant::now();
                lifetime.incarnation += 1;
                lifetime.is_down = false;
            }
            shared.connections.set_dead(false);
        });
        true
    }

    /// Returns the time on the executor's clock in milliseconds, which starts at 1.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.lifetime().start.elapsed().as_millis()).unwrap_or(u64::MAX) + 1
    }

    /// Ends the runs that have completed, and every run when the lease has expired.
    fn advance(&self) {
        let now = Instant::now();
        let clock_ms = self.clock_ms();
        let mut state = lock(&self.state);
        let is_lease_expired = clock_ms >= state.lease_until;
        let outcome = if lock(&self.faults).fails_all { "failed" } else { "done" };
        let is_over = |run: &ActiveRun| is_lease_expired || run.ends_at <= now;
        let names: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| is_over(run))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let is_done = state.running.get(&name).is_some_and(|run| run.ends_at <= now);
            let outcome = if is_done { outcome } else { "lapsed" };
            let Some(run) = state.running.remove(&name) else { continue };
            self.list_end(&mut state, name, run.run, outcome);
            self.ledger.record_end(run.ledger_index, outcome == "done");
        }
        for (name, run) in std::mem::take(&mut state.stopping) {
            if is_lease_expired || run.stopped_at <= now {
                self.ledger.record_end_at(run.ledger_index, run.stopped_at.min(now), false);
                self.list_end(&mut state, name, run.run, "stopped");
            } else {
                state.stopping.push((name, run));
            }
        }
    }

    fn list_end(&self, state: &mut RunTable, name: String, run: u64, outcome: &'static str) {
        state.last_end_number += 1;
        state.ended.push((state.last_end_number, name, run, outcome));
        self.run_ended.notify_waiters();
    }

    fn response(&self, status: StatusCode, reason: Option<&str>) -> Response {
        let mut body = json!({ "clockMs": self.clock_ms(), "born": self.lifetime().incarnation });
        if let Some(reason) = reason {
            body["reason"] = reason.into();
        }
        (status, Json(body)).into_response()
    }

    fn start_run(&self, body: &Value) -> Response {
        self.advance();
        let clock_ms = self.clock_ms();
        let int_field = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
        let Some(task) = body.get("task").and_then(Value::as_str) else {
            return self.response(StatusCode::BAD_REQUEST, None);
        };
        let mut state = lock(&self.state);
        if int_field("fencingToken") < state.fencing_token {
            return self.response(StatusCode::CONFLICT, Some("fence"));
        }
        state.fencing_token = int_field("fencingToken");
        let deadline_ms = int_field("deadlineMs");
        if deadline_ms <= clock_ms {
            return self.response(StatusCode::CONFLICT, Some("late"));
        }
        let run = int_field("run");
        if state.running.get(task).is_some_and(|active| active.run == run) {
            return self.response(StatusCode::OK, None);
        }
        if state.highest_run.get(task).is_some_and(|highest_run| run <= *highest_run) {
            return self.response(StatusCode::CONFLICT, Some("old"));
        }
        let max_lease_until = clock_ms + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(0);
        state.lease_until = state.lease_until.max(deadline_ms.min(max_lease_until));
        state.highest_run.insert(task.to_owned(), run);
        let ledger_index = self.ledger.record_start(task, &self.settings.id);
        let payload = body.get("spec").and_then(Value::as_str).unwrap_or("");
        let run_ms = payload.strip_prefix("run_ms=").and_then(|text| text.parse().ok());
        let run_ms = run_ms.unwrap_or(self.settings.run_ms);
        let ends_at = Instant::now() + Duration::from_millis(run_ms);
        state.running.insert(task.to_owned(), ActiveRun { run, ledger_index, ends_at });
        self.response(StatusCode::OK, None)
    }

    /// Returns the lists of running and of unacknowledged ended runs as a response body, and
    /// whether the second has entries.
    fn run_list(&self, last_seen: u64) -> (Value, bool) {
        let mut state = lock(&self.state);
        state.acknowledged = state.acknowledged.max(last_seen);
        let acknowledged = state.acknowledged;
        state.ended.retain(|(number, ..)| *number > acknowledged);
        let mut running: Vec<Value> =
            state.running.iter().map(|(task, run)| json!([task, run.run, "", 0])).collect();
        if lock(&self.faults).stopping_runs == StoppingRuns::Running {
            running.extend(state.stopping.iter().map(|(task, run)| json!([task, run.run, "", 0])));
        }
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        let has_ended_runs = !ended.is_empty();
        let body = json!({ "clockMs": self.clock_ms(), "born": self.lifetime().incarnation, "running": running, "ended": ended });
        (body, has_ended_runs)
    }

    /// Returns whether the next order gets no response and takes effect late.
    fn is_next_order_late(&self) -> bool {
        let number = self.orders.fetch_add(1, Ordering::Relaxed);
        // Multiples of a prime spread the late orders evenly.
        number * 37 % 100 < lock(&self.faults).late_percent
    }

    /// Carries out an order after [`LATE_AFTER`], unless the executor has crashed by then.
    fn carry_out_late(self: &Arc<Self>, order: impl FnOnce(&Self) -> Response + Send + 'static) {
        let (late, crashes) = (Arc::clone(self), self.lifetime().crashes);
        tokio::spawn(async move {
            sleep(LATE_AFTER).await;
            if late.lifetime().crashes == crashes {
                order(&late);
            }
        });
    }

    async fn hang_if_unresponsive(&self) {
        if lock(&self.faults).is_unresponsive {
            std::future::pending::<()>().await;
        }
    }
}

/// Time after which a late order takes effect.
const LATE_AFTER: Duration = Duration::from_millis(2_000);
/// Period of the check for runs that have ended.
const ADVANCE_PERIOD: Duration = Duration::from_millis(5);

async fn advance_runs(shared: Arc<Shared>) {
    loop {
        sleep(ADVANCE_PERIOD).await;
        shared.advance();
    }
}

async fn run_start(State(shared): State<Arc<Shared>>, Json(body): Json<Value>) -> Response {
    shared.hang_if_unresponsive().await;
    let task = body.get("task").and_then(Value::as_str).unwrap_or("");
    if shared.lifetime().is_down || shared.crashes_under(task) {
        std::future::pending::<()>().await;
    }
    let is_late = {
        let mut faults = lock(&shared.faults);
        let is_late = faults.late_starts > 0;
        faults.late_starts = faults.late_starts.saturating_sub(1);
        is_late
    } || shared.is_next_order_late();
    if is_late {
        shared.carry_out_late(move |late| late.start_run(&body));
        std::future::pending::<()>().await;
        unreachable!("a pending future does not complete");
    }
    shared.start_run(&body)
}

async fn run_stop(State(shared): State<Arc<Shared>>, Json(body): Json<Value>) -> Response {
    shared.hang_if_unresponsive().await;
    if shared.is_next_order_late() {
        shared.carry_out_late(move |late| stop_run(late, &body));
        return std::future::pending().await;
    }
    stop_run(&shared, &body)
}

fn stop_run(shared: &Shared, body: &Value) -> Response {
    shared.advance();
    let int_field = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
    let task = body.get("task").and_then(Value::as_str).unwrap_or("").to_owned();
    let mut state = lock(&shared.state);
    if int_field("fencingToken") < state.fencing_token {
        return shared.response(StatusCode::CONFLICT, Some("fence"));
    }
    state.fencing_token = int_field("fencingToken");
    let highest_run = state.highest_run.entry(task.clone()).or_insert(0);
    *highest_run = (*highest_run).max(int_field("run"));
    if state.running.get(&task).is_some_and(|active| active.run <= int_field("run"))
        && let Some(run) = state.running.remove(&task)
    {
        let stop_ms = lock(&shared.faults).stop_ms;
        let stopped_at = Instant::now() + Duration::from_millis(stop_ms);
        shared.ledger.record_stop(run.ledger_index);
        let ActiveRun { run, ledger_index, .. } = run;
        state.stopping.push((task, StoppingRun { run, ledger_index, stopped_at }));
    }
    drop(state);
    shared.advance();
    shared.response(StatusCode::OK, None)
}

async fn poll_runs(State(shared): State<Arc<Shared>>, Json(body): Json<Value>) -> Response {
    shared.hang_if_unresponsive().await;
    shared.advance();
    let int_field = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
    {
        let mut state = lock(&shared.state);
        if int_field("fencingToken") < state.fencing_token {
            return shared.response(StatusCode::CONFLICT, Some("fence"));
        }
        state.fencing_token = int_field("fencingToken");
        let max_lease_until = shared.clock_ms() + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(0);
        state.lease_until = state.lease_until.max(int_field("deadlineMs").min(max_lease_until));
    }
    let last_seen = int_field("lastSeen");
    let waiting = async {
        loop {
            let run_ended = shared.run_ended.notified();
            let (run_list, has_ended_runs) = shared.run_list(last_seen);
            if has_ended_runs {
                return run_list;
            }
            run_ended.await;
        }
    };
    let run_list = timeout(Duration::from_millis(int_field("waitMs")), waiting).await;
    Json(run_list.unwrap_or_else(|_| shared.run_list(last_seen).0)).into_response()
}

async fn announce(shared: Arc<Shared>, own_addr: SocketAddr, control: SocketAddr) {
    let mut seq = 0;
    let mut announced = shared.lifetime().incarnation;
    loop {
        let lifetime = shared.lifetime();
        if lifetime.is_down {
            sleep(HEARTBEAT_PERIOD).await;
            continue;
        }
        if lifetime.incarnation != announced {
            (announced, seq) = (lifetime.incarnation, 0);
        }
        seq += 1;
        let state = if lock(&shared.faults).is_draining { "draining" } else { "ready" };
        let settings = &shared.settings;
        let body = json!({
            "service": settings.pool, "address": own_addr.to_string(), "zone": settings.zone,
            "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
            "capacity": { "cpu": settings.milli_cores, "memMb": 65_536, "gpu": 0 },
            "labels": ["a", "r1"], "clockMs": shared.clock_ms(), "seq": seq, "born": lifetime.incarnation,
        });
        let path = format!("/-/Instances.Heartbeat/{}", settings.id);
        let sent = timeout(HEARTBEAT_TIMEOUT, post_json(control, &path, &body.to_string())).await;
        if !matches!(sent, Ok(Ok(()))) {
            log::debug!("heartbeat of {} was not acknowledged", settings.id);
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Posts a body over a new connection, as an executor does after a failure.
async fn post_json(addr: SocketAddr, path: &str, body: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    Ok(())
}
