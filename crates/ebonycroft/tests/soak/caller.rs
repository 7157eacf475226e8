//! Callers that submit jobs until they are stopped, and the outcome of each job.

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

const CALLERS: u64 = 12;
/// Each caller with a number that is a multiple of this submits jobs whose tasks outlive the time
/// for which it waits.
const LASTING_CALLERS: u64 = 4;
/// Run time of these tasks, milliseconds, and their maximum number in a job.
const LASTING_MS: u64 = 3_600;
const MAX_LASTING_TASKS: usize = 2;
/// Start of the ids of one caller's jobs; while the fault lasts, they crash every executor.
pub(crate) const DEADLY_CALLER: &str = "00000005";
const MAX_TASKS: usize = 6;
const MAX_STEPS: usize = 3;
/// Time for which a caller waits for the reply to one submission, milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_500;
/// Delay before a caller submits an unanswered job again.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);
const MAX_SUBMISSIONS: usize = 3;

/// A job with the reply to each of its submissions: the status and whether the job has succeeded,
/// or `None` without a reply.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) shape: Shape,
    replies: Vec<Option<(StatusCode, bool)>>,
}

/// The tasks of a job.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// Number of tasks of the first step.
    tasks: usize,
    /// Number of steps; each of the further ones has one task and follows the step before.
    steps: usize,
    run_ms: Option<u64>,
}

impl Default for Shape {
    fn default() -> Self {
        Self { tasks: 1, steps: 1, run_ms: None }
    }
}

impl Shape {
    fn random(caller: u64, rng: &mut StdRng) -> Self {
        if caller.is_multiple_of(LASTING_CALLERS) {
            let tasks = rng.random_range(1..=MAX_LASTING_TASKS);
            return Self { tasks, steps: 1, run_ms: Some(LASTING_MS) };
        }
        let steps = rng.random_range(1..=MAX_STEPS);
        Self { tasks: rng.random_range(1..=MAX_TASKS), steps, run_ms: None }
    }

    /// Returns the number of tasks of all steps.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks + self.steps - 1
    }

    fn body(&self) -> Value {
        let step = |i: usize| {
            let (count, after) = if i == 0 { (self.tasks, vec![]) } else { (1, vec![i - 1]) };
            json!({ "count": count, "cpu": 1_000, "memMb": 64, "estimateMs": 120,
                "dependsOn": after })
        };
        let spec = self.run_ms.map_or("payload".to_owned(), |ms| format!("run_ms={ms}"));
        let steps: Vec<Value> = (0..self.steps).map(step).collect();
        json!({ "spec": spec, "bestEffort": true, "steps": steps })
    }
}

impl Job {
    pub(crate) fn is_succeeded(&self) -> bool {
        self.replies.contains(&Some((StatusCode::OK, true)))
    }

    /// Returns whether every submission was refused.
    pub(crate) fn is_refused(&self) -> bool {
        let refusals = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        let is_refusal =
            |reply: &Option<(StatusCode, bool)>| reply.is_some_and(|(s, _)| refusals.contains(&s));
        self.replies.iter().all(is_refusal)
    }

    /// Returns whether a submission was answered as failed.
    pub(crate) fn is_failed(&self) -> bool {
        self.replies.contains(&Some((StatusCode::OK, false)))
    }

    /// Returns whether the job may crash executors.
    pub(crate) fn is_deadly(&self) -> bool {
        self.id.starts_with(DEADLY_CALLER)
    }

    pub(crate) fn is_unknown(&self) -> bool {
        !self.is_succeeded() && !self.is_refused()
    }
}

/// Callers that submit jobs in the background.
pub(crate) struct RunningCallers {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<Job>>,
}

/// Starts the callers; `seed` determines the jobs that they submit.
pub(crate) fn start(system: &System, seed: u64) -> RunningCallers {
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        callers.spawn(run_caller(Arc::clone(&system.callers), n, seed, Arc::clone(&stop)));
    }
    RunningCallers { stop, callers }
}

impl RunningCallers {
    /// Stops the callers after their current jobs and returns the jobs of all.
    pub(crate) async fn finish(self) -> Vec<Job> {
        self.stop.store(true, Ordering::Relaxed);
        self.callers.join_all().await.into_iter().flatten().collect()
    }
}

/// Submits jobs one after the other until `stop` is set.
async fn run_caller(
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
        let shape = Shape::random(n, &mut rng);
        let mut replies = Vec::new();
        for _ in 0..MAX_SUBMISSIONS {
            let entry = {
                let entries = entries.lock().expect("no holder of the lock panics");
                entries[rng.random_range(0..entries.len())]
            };
            let reply = submit(&client, entry, &id, &shape).await;
            let is_final = reply.is_some_and(|(status, _)| status != StatusCode::GATEWAY_TIMEOUT);
            replies.push(reply);
            if is_final {
                break;
            }
            sleep(RESUBMISSION_DELAY).await;
        }
        jobs.push(Job { id, shape, replies });
        sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
    jobs
}

/// Submits a job. Returns the status and whether the job has succeeded, or `None` when the
/// connection fails, the time runs out or the reply is not JSON.
pub(crate) async fn submit(
    client: &Client,
    entry: SocketAddr,
    id: &str,
    shape: &Shape,
) -> Option<(StatusCode, bool)> {
    let reply = client
        .post(format!("http://{entry}/j/{id}"))
        .header("Host", "jobs.example")
        .header("Deadline-Ms", CALLER_TIMEOUT_MS.to_string())
        .timeout(Duration::from_millis(CALLER_TIMEOUT_MS))
        .body(shape.body().to_string())
        .send()
        .await
        .ok()?;
    let status = reply.status();
    let body: Value = reply.json().await.ok()?;
    Some((status, body.get("state").and_then(Value::as_str) == Some("succeeded")))
}
