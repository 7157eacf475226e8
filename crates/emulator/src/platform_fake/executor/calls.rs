//! Calls of the agent to an executor, and the heartbeats of the executor.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use axum::{
    Json,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    MAX_LEASE, Shared, lock,
    runs::{ActiveRun, StoppingRun},
};
use crate::platform_fake::run_ledger::RunEnd;

/// Period of the heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);
/// Longest time to wait for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

pub(super) async fn run_start(
    State(shared): State<Arc<Shared>>,
    Json(body): Json<Value>,
) -> Response {
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

pub(super) async fn run_stop(
    State(shared): State<Arc<Shared>>,
    Json(body): Json<Value>,
) -> Response {
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
    let Some(mut state) = shared.live_runs() else {
        return shared.response(StatusCode::SERVICE_UNAVAILABLE, None);
    };
    if int_field("fencingToken") < state.fencing_token {
        return shared.response(StatusCode::CONFLICT, Some("fence"));
    }
    state.fencing_token = int_field("fencingToken");
    let highest_run = state.highest_run.entry(task.clone()).or_insert(0);
    *highest_run = (*highest_run).max(int_field("run"));
    let stopped = (task.clone(), 0)..=(task.clone(), int_field("run"));
    let stopped: Vec<_> = state.running.extract_if(stopped, |_, _| true).collect();
    let stop_ms = lock(&shared.faults).stop_ms;
    let stopped_at = Instant::now() + Duration::from_millis(stop_ms);
    for ((task, run), ActiveRun { ledger_index, .. }) in stopped {
        shared.ledger.record_stop(ledger_index);
        let end = RunEnd::Stopped;
        state.stopping.push((task, StoppingRun { run, ledger_index, stopped_at, end }));
    }
    shared.record_promises(&state);
    drop(state);
    shared.advance();
    shared.response(StatusCode::OK, None)
}

pub(super) async fn poll_runs(
    State(shared): State<Arc<Shared>>,
    Json(body): Json<Value>,
) -> Response {
    shared.advance();
    let int_field = |field: &str| body.get(field).and_then(Value::as_u64).unwrap_or(0);
    {
        let Some(mut state) = shared.live_runs() else {
            return shared.response(StatusCode::SERVICE_UNAVAILABLE, None);
        };
        if int_field("fencingToken") < state.fencing_token {
            return shared.response(StatusCode::CONFLICT, Some("fence"));
        }
        state.fencing_token = int_field("fencingToken");
        let max_lease_until = shared.clock_ms() + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(0);
        state.lease_until = state.lease_until.max(int_field("deadlineMs").min(max_lease_until));
        shared.record_promises(&state);
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

pub(super) async fn announce(shared: Arc<Shared>, own_addr: SocketAddr, control: SocketAddr) {
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
        let is_leaving = shared.is_leaving.load(Ordering::Relaxed);
        let is_draining = is_leaving || lock(&shared.faults).is_draining;
        let state = if is_draining { "draining" } else { "ready" };
        let settings = &shared.settings;
        let body = json!({
            "service": settings.pool, "address": own_addr.to_string(), "zone": settings.zone,
            "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
            "capacity": { "cpu": settings.milli_cores, "memMb": 65_536, "gpu": 0 },
            "labels": ["a", "r1"], "clockMs": shared.clock_ms(), "seq": seq, "born": lifetime.incarnation,
        });
        let path = format!("/-/Instances.Heartbeat/{}", shared.id());
        let sent = timeout(HEARTBEAT_TIMEOUT, post_json(control, &path, &body.to_string())).await;
        if !matches!(sent, Ok(Ok(()))) {
            log::debug!("heartbeat of {} was not acknowledged", settings.id);
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

pub(super) async fn deregister(shared: &Shared, control: SocketAddr) {
    let path = format!("/-/Instances.Deregister/{}", shared.id());
    let sent = timeout(HEARTBEAT_TIMEOUT, post_json(control, &path, "{}")).await;
    if !matches!(sent, Ok(Ok(()))) {
        log::debug!("the end of {} was not acknowledged", shared.settings.id);
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
