//! Leases with a fake worker whose behaviour each test chooses, in paused time.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU32, Ordering},
};

use futures::future::BoxFuture;
use ports::{
    Checkpoint, LeaseId, LeaseStart, LeaseStatus, LeaseUsage, Worker, WorkerError, WorkerUsage,
};
use rpc::{EntryIdentity, NotStarted, TaskResult, TaskStart};
use tokio::time::{Duration, Instant, advance, sleep};
use types::{
    Answer, AttemptKey, AttemptNumber, Epoch, Incarnation, JobId, Partition, Payload, Peer,
    Resources, StepError, TaskIndex, TaskKey, Urgency,
};

use super::LeasedWorker;

const LEASE: Duration = Duration::from_secs(3);
const LONG_TIMEOUT: Duration = Duration::from_secs(3_600);
const USED: Resources = Resources { milli_cores: 2_500, memory_mb: 900, accelerators: 0 };

/// Behaviour of the worker.
#[derive(Clone, Copy)]
enum Behaviour {
    /// It finishes the task after the given time.
    Finish(Duration),
    /// It refuses to start the task.
    Refuse,
    /// It does not reply to starts and status requests.
    Unresponsive,
    /// The agent is paused for the given time while it waits for the first status.
    PauseAgent(Duration),
}

struct FakeWorker {
    behaviour: Behaviour,
    started_at: Instant,
    starts: Mutex<Vec<LeaseId>>,
    renewals: AtomicU32,
    stops: AtomicU32,
}

impl FakeWorker {
    fn new(behaviour: Behaviour) -> Arc<Self> {
        Arc::new(Self {
            behaviour,
            started_at: Instant::now(),
            starts: Mutex::default(),
            renewals: AtomicU32::new(0),
            stops: AtomicU32::new(0),
        })
    }

    fn error() -> StepError {
        StepError::new("testing", Peer::Local, "error injected by the test")
    }

    async fn lease_status(&self, wait: Duration) -> Result<LeaseStatus, WorkerError> {
        match self.behaviour {
            Behaviour::Finish(run) if self.started_at.elapsed() + wait >= run => {
                sleep(run.saturating_sub(self.started_at.elapsed())).await;
                let payload = Payload::from_json("{}");
                Ok(LeaseStatus::Finished(Answer { payload, run_us: run.as_micros() as u64 }))
            }
            Behaviour::Finish(_) => {
                sleep(wait).await;
                Ok(LeaseStatus::Running)
            }
            Behaviour::PauseAgent(pause) => {
                advance(pause).await;
                Ok(LeaseStatus::Running)
            }
            Behaviour::Refuse | Behaviour::Unresponsive => std::future::pending().await,
        }
    }
}

impl Worker for FakeWorker {
    fn start(&self, start: LeaseStart) -> BoxFuture<'_, Result<(), WorkerError>> {
        self.starts.lock().unwrap().push(start.lease);
        Box::pin(async {
            match self.behaviour {
                Behaviour::Refuse => Err(WorkerError::Refused(Self::error())),
                Behaviour::Unresponsive => std::future::pending().await,
                Behaviour::Finish(_) | Behaviour::PauseAgent(_) => Ok(()),
            }
        })
    }

    fn renew(&self, _: LeaseId, _: u64) -> BoxFuture<'_, Result<(), WorkerError>> {
        self.renewals.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Ok(()) })
    }

    fn stop(&self, _: LeaseId) -> BoxFuture<'_, Result<(), WorkerError>> {
        self.stops.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Ok(()) })
    }

    fn throttle(&self, _: LeaseId, _: u8) -> BoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(async { Err(WorkerError::Refused(Self::error())) })
    }

    fn checkpoint(&self, _: LeaseId) -> BoxFuture<'_, Result<Checkpoint, WorkerError>> {
        Box::pin(async { Err(WorkerError::Refused(Self::error())) })
    }

    fn status(&self, _: LeaseId, wait_ms: u64) -> BoxFuture<'_, Result<LeaseStatus, WorkerError>> {
        Box::pin(self.lease_status(Duration::from_millis(wait_ms)))
    }

    fn usage(&self) -> BoxFuture<'_, Result<WorkerUsage, WorkerError>> {
        let lease = self.starts.lock().unwrap()[0];
        let leases = vec![LeaseUsage { lease, used: USED }];
        Box::pin(async { Ok(WorkerUsage { leases, ..Default::default() }) })
    }
}

fn start() -> TaskStart {
    let task = TaskKey { job: JobId::from_parts(1, [7; 10]), index: TaskIndex(2) };
    TaskStart {
        key: AttemptKey { task, attempt: AttemptNumber::FIRST },
        partition: Partition(0),
        epoch: Epoch::default(),
        entry: EntryIdentity {
            name: "entry-a".parse().unwrap(),
            incarnation: Incarnation::generate(),
            addr: "127.0.0.1:1".parse().unwrap(),
        },
        agent: Incarnation::generate(),
        team: "line-supervisors".parse().unwrap(),
        service: "recipe".parse().unwrap(),
        kind: "book".parse().unwrap(),
        urgency: Urgency::Normal,
        weight: 1,
        resources: Resources::default(),
        expected_us: 1_000,
        timeout_ms: LONG_TIMEOUT.as_millis() as u64,
        uses_offer: false,
        payload: Payload::from_json("{}"),
        traceparent: None,
    }
}

async fn run(worker: &Arc<FakeWorker>, timeout: Duration) -> crate::run_outcome::RunOutcome {
    let leased = LeasedWorker::new(Arc::<FakeWorker>::clone(worker), LEASE);
    let outcome = leased.run(start(), Instant::now() + timeout, None).await;
    sleep(Duration::from_millis(1)).await;
    outcome
}

#[tokio::test(start_paused = true)]
async fn lease_is_renewed_while_the_task_runs_and_its_usage_is_reported() {
    let worker = FakeWorker::new(Behaviour::Finish(LEASE * 4));
    let outcome = run(&worker, LONG_TIMEOUT).await;
    assert!(matches!(outcome.result, TaskResult::Done(_)), "{outcome:?}");
    assert_eq!(outcome.usage, Some(USED));
    assert!(worker.renewals.load(Ordering::Relaxed) >= 4);
    assert_eq!(worker.stops.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn agent_paused_for_longer_than_the_lease_does_not_renew_it() {
    let worker = FakeWorker::new(Behaviour::PauseAgent(LEASE * 2));
    let outcome = run(&worker, LONG_TIMEOUT).await;
    assert!(matches!(outcome.result, TaskResult::Unknown(_)), "{outcome:?}");
    assert_eq!(worker.renewals.load(Ordering::Relaxed), 0);
    assert_eq!(worker.starts.lock().unwrap().len(), 1);
    assert_eq!(worker.stops.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn task_is_not_started_if_the_worker_refuses_it() {
    let worker = FakeWorker::new(Behaviour::Refuse);
    let outcome = run(&worker, LONG_TIMEOUT).await;
    let is_refused = matches!(outcome.result, TaskResult::NotStarted(NotStarted::Executor(_)));
    assert!(is_refused, "{outcome:?}");
    assert_eq!(worker.stops.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn outcome_is_unknown_when_the_lease_lapses_without_a_reply_of_the_worker() {
    let worker = FakeWorker::new(Behaviour::Unresponsive);
    let started_at = Instant::now();
    let outcome = run(&worker, LONG_TIMEOUT).await;
    assert!(matches!(outcome.result, TaskResult::Unknown(_)), "{outcome:?}");
    assert_eq!(worker.starts.lock().unwrap().len(), 1);
    assert!(started_at.elapsed() < LEASE * 2);
}

#[tokio::test(start_paused = true)]
async fn task_is_stopped_at_its_deadline() {
    let worker = FakeWorker::new(Behaviour::Finish(LONG_TIMEOUT));
    let outcome = run(&worker, LEASE * 3).await;
    assert!(matches!(outcome.result, TaskResult::Unknown(_)), "{outcome:?}");
    assert_eq!(worker.stops.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn repeated_start_uses_the_same_lease() {
    let worker = FakeWorker::new(Behaviour::Finish(Duration::ZERO));
    run(&worker, LONG_TIMEOUT).await;
    run(&worker, LONG_TIMEOUT).await;
    let starts = worker.starts.lock().unwrap();
    assert_eq!(starts[0], starts[1]);
}
