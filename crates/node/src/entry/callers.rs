//! Handlers of callers' HTTP requests.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use direct::{JobKey, JobName, JobOutcome};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
};
use intake::{BodyLimits, ConnectionActivity, RequestBody, read_body};
use metrics::{counter, histogram};
use platform::{
    CallerRequest, JobError, Reply, decode_caller_request, decode_job, encode_cancelled,
    encode_error, encode_outcome, encode_pending, encode_unknown_job,
};
use serde_json::{Value, json};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    clock, entry::state::EntryState, events::Level, http::HttpResponse, task_names::job_fields,
};

/// Request header with the time that the caller waits for its answer, milliseconds.
const CALLER_TIMEOUT_HEADER: &str = platform::CALLER_TIMEOUT_HEADER;

/// A wait that is on time shows that the event loop has read the connections since the last one, and
/// the delay from which it is not on time. A process that is always late goes on after a few waits.
const CHECK_WAIT: Duration = Duration::from_millis(1);
const MAX_DELAY: Duration = Duration::from_millis(5);
const MAX_CHECKS: u32 = 5;

/// Cancels a job whose caller closes the connection before the answer is sent; the HTTP server
/// drops the request's future then.
struct CancelOnDrop {
    state: Rc<EntryState>,
    key: JobKey,
    /// Fields that name the job.
    job: Vec<(&'static str, Value)>,
    arrived_ms: u64,
    is_answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        counter!("entry_jobs", "end" => "client_gone").increment(1);
        let waited_ms = clock::now_ms().saturating_sub(self.arrived_ms);
        let mut fields = std::mem::take(&mut self.job);
        fields.push(("after_ms", json!(waited_ms)));
        self.state.events.emit(Level::Notable, "client_gone", &fields);
        self.state.cancel(self.key);
    }
}

/// Handles one request of a caller.
pub(crate) async fn handle(state: Rc<EntryState>, req: Request<RequestBody>) -> HttpResponse {
    let mut closes_connection = false;
    let reply = reply(&state, req, &mut closes_connection).await;
    let mut response = http_response(reply);
    if closes_connection {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reports a request that is rejected before a job starts, and returns the reply.
fn reject(state: &EntryState, path: &str, status: u16, cause: &str) -> Reply {
    counter!("entry_calls_rejected", "status" => status.to_string()).increment(1);
    let version = state.routing().map(|routing| routing.version);
    let fields = [
        ("job", json!(path.rsplit('/').next())),
        ("path", json!(path)),
        ("status", json!(status)),
        ("cause", json!(cause)),
        ("config", json!(version)),
    ];
    state.events.emit(Level::Notable, "rejected", &fields);
    encode_error(status, cause)
}

async fn reply(
    state: &Rc<EntryState>,
    req: Request<RequestBody>,
    closes_connection: &mut bool,
) -> Reply {
    let Some(routing) = state.first_routing().await else {
        return reject(state, req.uri().path(), 503, "no configuration yet");
    };
    let (head, mut body) = req.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let host = header(HOST.as_str()).or(head.uri.host()).unwrap_or("");
    let request = match decode_caller_request(&routing, head.method.as_str(), host, head.uri.path())
    {
        Ok(request) => request,
        Err(e) => return reject(state, head.uri.path(), e.status(), &e.to_string()),
    };
    let (queue, id) = match request {
        CallerRequest::Submit(queue, id) => (queue, id),
        CallerRequest::Cancel(queue, id) => {
            let name =
                JobName { queue: Arc::clone(&queue.name), id: id.to_ascii_lowercase().into() };
            let is_cancelled = state.cancel_job(&name);
            return if is_cancelled { encode_cancelled() } else { encode_unknown_job() };
        }
        // Direct jobs are not stored, so none can be queried, and none is pending.
        CallerRequest::State(..) => return encode_unknown_job(),
        CallerRequest::Pending(_) => return encode_pending(0),
    };
    let caller_timeout_ms = header(CALLER_TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    let activity = head.extensions.get::<ConnectionActivity>().copied();
    let limits = BodyLimits {
        bytes: routing.limits.body_bytes,
        time: Duration::from_millis(routing.limits.idle_ms),
    };
    let mut received = match read_body(&state.intake, &mut body, limits).await {
        Ok(received) => received,
        Err(e) => {
            *closes_connection = e.closes_connection();
            return reject(state, head.uri.path(), e.status(), &e.to_string());
        }
    };
    if let Some(activity) = activity {
        state.intake.serve(activity.connection);
    }
    match decode_job(id, queue, received.bytes(), caller_timeout_ms) {
        Ok(job) if job.task_count() > state.max_job_tasks => {
            let (tasks, most) = (job.task_count(), state.max_job_tasks);
            let cause = format!("the job has {tasks} tasks; at most {most} are accepted");
            reject(state, head.uri.path(), 413, &cause)
        }
        Ok(job) => {
            // The job may wait and run for long; its bytes count until the response.
            if let Err(e) = received.replace(job.memory_bytes()) {
                return reject(state, head.uri.path(), e.status(), &e.to_string());
            }
            run(state, job, routing.version, activity).await
        }
        Err(e @ JobError::Malformed(_)) => reject(state, head.uri.path(), 400, &e.to_string()),
        Err(e @ JobError::Unsupported(_)) => reject(state, head.uri.path(), 503, &e.to_string()),
    }
}

async fn run(
    state: &Rc<EntryState>,
    job: direct::DirectJob,
    version: u64,
    activity: Option<ConnectionActivity>,
) -> Reply {
    let (named, pool) = (job_fields(&job.tasks()), Arc::clone(&job.pool));
    let arrived_ms = clock::now_ms();
    let age_ms = |ms: u64| arrived_ms.saturating_sub(ms);
    let silent_ms = activity.and_then(|activity| activity.responded_ms).map(age_ms);
    // The caller may have sent the job to another entry meanwhile.
    let is_held = silent_ms.is_none_or(|ms| ms >= state.timing.max_request_age_ms());
    let mut fields = named.clone();
    fields.extend([
        ("queue", json!(&*job.kind)),
        ("config", json!(version)),
        ("tasks", json!(job.task_count())),
        ("chain_ms", json!(job.longest_chain_ms())),
        ("patience_ms", json!(job.caller_timeout_ms)),
        ("connection", json!(activity.map(|activity| activity.connection))),
        ("connected_ms", json!(activity.map(|activity| age_ms(activity.accepted_ms)))),
        ("silent_ms", json!(silent_ms)),
        ("is_held", json!(is_held)),
    ]);
    state.events.emit(Level::Routine, "accepted", &fields);
    let (key, outcome_rx) = state.submit(job, is_held);
    if is_held {
        spawn_local(release(Rc::clone(state), key));
    }
    let mut guard = CancelOnDrop {
        state: Rc::clone(state),
        key,
        job: named.clone(),
        arrived_ms,
        is_answered: false,
    };
    let Ok(outcome) = outcome_rx.await else {
        guard.is_answered = true;
        return encode_error(500, "the dispatcher has ended");
    };
    guard.is_answered = true;
    let elapsed_ms = clock::now_ms().saturating_sub(arrived_ms);
    let (name, level) = match outcome {
        JobOutcome::Succeeded => ("succeeded", Level::Routine),
        JobOutcome::Failed => ("failed", Level::Notable),
        JobOutcome::TimedOut => ("timed_out", Level::Notable),
        JobOutcome::Cancelled => ("cancelled", Level::Notable),
        JobOutcome::NotRun { reason, .. } => (reason.name(), Level::Notable),
    };
    counter!("entry_jobs", "end" => name).increment(1);
    #[allow(clippy::cast_precision_loss)]
    histogram!("entry_answer_seconds").record(elapsed_ms as f64 / 1_000.0);
    let mut fields = named;
    fields.extend([("end", json!(name)), ("took_ms", json!(elapsed_ms))]);
    if matches!(outcome, JobOutcome::NotRun { .. }) {
        let capacity = state.pool_capacity(&pool);
        fields.push(("agents", json!(capacity.agents)));
        fields.push(("open_agents", json!(capacity.open_agents)));
        fields.push(("most_free_milli_cores", json!(capacity.most_free.milli_cores)));
        fields.push(("oldest_view_ms", json!(capacity.oldest_view_ms)));
    }
    state.events.emit(level, "answered", &fields);
    encode_outcome(outcome)
}

/// Lets a held job start after `end_wait_ms`. The event loop reads connections before it runs timers
/// that are due, so an end that has arrived by then cancels the job first.
async fn release(state: Rc<EntryState>, key: JobKey) {
    sleep(Duration::from_millis(state.timing.end_wait_ms)).await;
    // When the process has been stopped and goes on, due timers run before connections are read.
    for _ in 0..MAX_CHECKS {
        let due = Instant::now() + CHECK_WAIT;
        sleep_until(due).await;
        if due.elapsed() < MAX_DELAY {
            break;
        }
    }
    state.release(key);
}

fn http_response(reply: Reply) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after_s) = reply.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(after_s));
    }
    response
}
