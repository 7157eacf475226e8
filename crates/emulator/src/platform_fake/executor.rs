mod calls;
mod runs;
mod settings;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use axum::{
    Json, Router,
    extract::{Request, State},
    http::StatusCode,
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::post,
};
use serde_json::{Value, json};
use tokio::{sync::Notify, task::JoinHandle, time::sleep};
use types::StepError;

use self::{
    calls::{announce, deregister, poll_runs, run_start, run_stop},
    runs::{ActiveRun, RunTable},
};
use super::run_ledger::{RunEnd, RunLedger};
use crate::{connections::Connections, server::Server};

pub use self::settings::{
    FakeExecutorClock, FakeExecutorFaults, FakeExecutorSettings, StoppingRuns,
};

/// Longest lease that an executor grants; a later deadline is shortened to it.
const MAX_LEASE: Duration = Duration::from_millis(1_000);
/// How long an executor that has crashed is down.
const CRASH_DOWN: Duration = Duration::from_millis(300);
/// Time after which a late order takes effect.
const LATE_AFTER: Duration = Duration::from_millis(2_000);
/// Names the id of the executor that a call is meant for.
const EXPECT_INSTANCE: &str = "Expect-Instance";
/// Period of the check for runs that have ended.
const ADVANCE_PERIOD: Duration = Duration::from_millis(5);

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
    clock: Mutex<FakeExecutorClock>,
    /// Number of starts and stops so far.
    orders: AtomicU64,
    run_ended: Notify,
    /// Whether its heartbeats report that it is draining, whatever its faults are.
    is_leaving: AtomicBool,
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
            clock: Mutex::default(),
            orders: AtomicU64::new(0),
            run_ended: Notify::new(),
            is_leaving: AtomicBool::new(false),
        });
        let router = Router::new()
            .route("/-/run-start", post(run_start))
            .route("/-/run-stop", post(run_stop))
            .route("/-/hold", post(poll_runs))
            .layer(from_fn_with_state(Arc::clone(&shared), check_instance))
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

    /// Reports from now on that it is draining.
    pub fn begin_leaving(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Tells the agent at `control` that it leaves.
    pub async fn deregister(&self, control: SocketAddr) {
        deregister(&self.shared, control).await;
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

    /// Replaces the treatment of time. To be called before the first start, since the clock jumps.
    pub fn set_clock(&self, clock: FakeExecutorClock) {
        *lock(&self.shared.clock) = clock;
    }
}

impl Drop for FakeExecutor {
    fn drop(&mut self) {
        self.advancing.abort();
        let runs = lock(&self.shared.state).remove_all();
        runs.into_iter().for_each(|run| self.shared.ledger.record_end(run, RunEnd::Crashed));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Shared {
    fn lifetime(&self) -> Lifetime {
        *lock(&self.lifetime)
    }

    /// Returns the id of the present incarnation.
    fn id(&self) -> String {
        let id = &self.settings.id;
        match self.settings.renews_id {
            true => format!("{id}-{}", self.lifetime().incarnation),
            false => id.clone(),
        }
    }

    /// Crashes if a task that is being started does so; returns whether it has crashed.
    fn crashes_under(self: &Arc<Self>, task: &str) -> bool {
        let crashed_by = lock(&self.faults).crashed_by;
        if !crashed_by.is_some_and(|prefix| task.starts_with(prefix)) {
            return false;
        }
        {
            // A start that is under way waits for the lock, and does not outlive the crash.
            let mut state = lock(&self.state);
            {
                let mut lifetime = lock(&self.lifetime);
                if lifetime.is_down {
                    return true;
                }
                lifetime.crashes += 1;
                lifetime.is_down = true;
            }
            self.connections.set_dead(true);
            // A repeated start does not run the task a second time.
            if !state.running.keys().any(|(running, _)| running == task) {
                let index = self.ledger.record_start(task, &self.settings.id);
                self.ledger.record_end(index, RunEnd::Crashed);
            }
            let runs = std::mem::take(&mut *state).remove_all();
            runs.into_iter().for_each(|run| self.ledger.record_end(run, RunEnd::Crashed));
        }
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

    /// Returns the runs, unless the executor has crashed; then the connection has been reset.
    fn live_runs(&self) -> Option<MutexGuard<'_, RunTable>> {
        let state = lock(&self.state);
        (!self.lifetime().is_down).then_some(state)
    }

    /// Returns the time on the executor's clock in milliseconds, which starts at 1.
    fn clock_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.lifetime().start.elapsed().as_millis());
        elapsed_ms.unwrap_or(0) * (100 - lock(&self.clock).slow_percent) / 100 + 1
    }

    /// Returns the instant from which the executor's clock shows this time, milliseconds.
    fn instant_of(&self, clock_ms: u64) -> Instant {
        let speed_percent = 100 - lock(&self.clock).slow_percent;
        let elapsed_ms = (clock_ms.saturating_sub(1) * 100).div_ceil(speed_percent);
        self.lifetime().start + Duration::from_millis(elapsed_ms)
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
        let Some(mut state) = self.live_runs() else {
            return self.response(StatusCode::SERVICE_UNAVAILABLE, None);
        };
        if int_field("fencingToken") < state.fencing_token {
            return self.response(StatusCode::CONFLICT, Some("fence"));
        }
        state.fencing_token = int_field("fencingToken");
        let deadline_ms = int_field("deadlineMs");
        if deadline_ms <= clock_ms {
            return self.response(StatusCode::CONFLICT, Some("late"));
        }
        let run = int_field("run");
        let key = (task.to_owned(), run);
        if state.running.contains_key(&key) {
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
        state.running.insert(key, ActiveRun { ledger_index, ends_at });
        self.record_promises(&state);
        self.response(StatusCode::OK, None)
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

/// Refuses a call that is meant for another executor, and leaves it unanswered while the executor is
/// unresponsive.
async fn check_instance(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    shared.hang_if_unresponsive().await;
    let expected = request.headers().get(EXPECT_INSTANCE);
    if expected.is_some_and(|id| id.as_bytes() != shared.id().as_bytes()) {
        return shared.response(StatusCode::MISDIRECTED_REQUEST, None);
    }
    next.run(request).await
}

async fn advance_runs(shared: Arc<Shared>) {
    loop {
        sleep(ADVANCE_PERIOD).await;
        shared.advance();
    }
}
