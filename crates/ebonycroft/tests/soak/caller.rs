use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use crate::system::System;

const CALLERS: u64 = 6;
const MAX_TASKS: usize = 6;
/// How long a caller waits for its answer, milliseconds.
const PATIENCE_MS: u64 = 1_500;
/// When a caller sends an unanswered job again.
const RESEND: Duration = Duration::from_millis(1_300);
const MAX_SENDS: usize = 3;

/// A job with the answers to all its sends; nothing stands for a broken connection.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) tasks: usize,
    answers: Vec<Option<(StatusCode, bool)>>,
}

impl Job {
    pub(crate) fn is_succeeded(&self) -> bool {
        self.answers.contains(&Some((StatusCode::OK, true)))
    }

    /// Returns whether every send was refused.
    pub(crate) fn is_refused(&self) -> bool {
        let refusals = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        let is_refusal = |answer: &Option<(StatusCode, bool)>| {
            answer.is_some_and(|(s, _)| refusals.contains(&s))
        };
        self.answers.iter().all(is_refusal)
    }

    pub(crate) fn is_unknown(&self) -> bool {
        !self.is_succeeded() && !self.is_refused()
    }
}

/// Callers at work.
pub(crate) struct Calls {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<Job>>,
}

pub(crate) fn start(system: &System, seed: u64) -> Calls {
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        callers.spawn(call(Arc::clone(&system.callers), n, seed, Arc::clone(&stop)));
    }
    Calls { stop, callers }
}

impl Calls {
    /// Lets the callers finish their last jobs.
    pub(crate) async fn finish(self) -> Vec<Job> {
        self.stop.store(true, Ordering::Relaxed);
        self.callers.join_all().await.into_iter().flatten().collect()
    }
}

async fn call(
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    n: u64,
    seed: u64,
    stop: Arc<AtomicBool>,
) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(seed ^ (n << 32));
    let client = Client::builder().no_proxy().build().expect("a client can be built");
    let mut jobs = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", (n << 32) + jobs.len() as u64);
        let tasks = rng.random_range(1..=MAX_TASKS);
        let mut answers = Vec::new();
        for _ in 0..MAX_SENDS {
            let entry = {
                let entries = entries.lock().expect("no holder of the lock panics");
                entries[rng.random_range(0..entries.len())]
            };
            let answer = send(&client, entry, &id, tasks).await;
            let is_final = answer.is_some_and(|(status, _)| status != StatusCode::GATEWAY_TIMEOUT);
            answers.push(answer);
            if is_final {
                break;
            }
            sleep(RESEND).await;
        }
        jobs.push(Job { id, tasks, answers });
        sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
    jobs
}

/// Sends a job; returns the status and whether the job has succeeded.
pub(crate) async fn send(
    client: &Client,
    entry: SocketAddr,
    id: &str,
    tasks: usize,
) -> Option<(StatusCode, bool)> {
    let body = json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": tasks, "cpu": 1_000, "memMb": 64, "estimateMs": 120 }] });
    let answer = client
        .post(format!("http://{entry}/j/{id}"))
        .header("Host", "jobs.example")
        .header("Deadline-Ms", PATIENCE_MS.to_string())
        .timeout(Duration::from_millis(PATIENCE_MS))
        .body(body.to_string())
        .send()
        .await
        .ok()?;
    let status = answer.status();
    let body: Value = answer.json().await.ok()?;
    Some((status, body.get("state").and_then(Value::as_str) == Some("succeeded")))
}
