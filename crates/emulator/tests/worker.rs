//! The emulated worker, called through [`HttpWorker`].

use emulator::{WorkerFaults, WorkerServer, WorkerSettings};
use ports::{Checkpoint, HttpWorker, LeaseId, LeaseStart, LeaseStatus, Worker, WorkerError};
use rstest::rstest;
use types::{AttemptKey, AttemptNumber, JobId, Payload, Resources, TaskIndex, TaskKey};

const LEASE: LeaseId = LeaseId(7);
const WAIT_MS: u64 = 10_000;
const LONG: &str = r#"{"name":"Mira","run_ms":60000}"#;
const SHORT: &str = r#"{"name":"Mira","run_ms":1}"#;

fn start(payload: &str) -> LeaseStart {
    LeaseStart {
        lease: LEASE,
        lease_ms: 60_000,
        key: AttemptKey {
            task: TaskKey { job: JobId::from_parts(1, [0; 10]), index: TaskIndex(0) },
            attempt: AttemptNumber::FIRST,
        },
        service: "notebook".parse().unwrap(),
        kind: "npc".parse().unwrap(),
        payload: Payload::from_json(payload),
        resources: Resources { milli_cores: 500, memory_mb: 256, accelerators: 0 },
        checkpoint: None,
        traceparent: None,
    }
}

async fn worker(settings: WorkerSettings) -> (WorkerServer, HttpWorker) {
    let server = WorkerServer::start(settings, "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = HttpWorker::new(server.url()).unwrap();
    (server, client)
}

#[tokio::test]
async fn task_is_started_once_per_lease_and_is_answered() {
    let (server, client) = worker(WorkerSettings::default()).await;
    client.start(start(SHORT)).await.unwrap();
    client.start(start(SHORT)).await.unwrap();
    let status = client.status(LEASE, WAIT_MS).await.unwrap();
    assert!(matches!(status, LeaseStatus::Finished(_)), "{status:?}");
    assert_eq!((server.starts()[0].starts, server.starts()[0].finished), (1, 1));
}

#[tokio::test]
async fn lapsed_lease_stops_its_task() {
    let (server, client) = worker(WorkerSettings::default()).await;
    client.start(LeaseStart { lease_ms: 50, ..start(LONG) }).await.unwrap();
    assert_eq!(client.status(LEASE, WAIT_MS).await.unwrap(), LeaseStatus::Lapsed);
    assert_eq!((server.running(), server.starts()[0].finished), (0, 0));
    let renewed = client.renew(LEASE, 1_000).await;
    assert!(matches!(renewed, Err(WorkerError::Refused(_))), "{renewed:?}");
}

#[tokio::test]
async fn renewal_replaces_the_deadline_of_the_lease() {
    let (_server, client) = worker(WorkerSettings::default()).await;
    client.start(start(LONG)).await.unwrap();
    client.renew(LEASE, 20).await.unwrap();
    assert_eq!(client.status(LEASE, WAIT_MS).await.unwrap(), LeaseStatus::Lapsed);
}

#[tokio::test]
async fn stop_ends_the_task() {
    let (server, client) = worker(WorkerSettings::default()).await;
    client.start(start(LONG)).await.unwrap();
    client.stop(LEASE).await.unwrap();
    assert_eq!(client.status(LEASE, WAIT_MS).await.unwrap(), LeaseStatus::Stopped);
    assert_eq!(server.running(), 0);
}

#[tokio::test]
async fn checkpoint_resumes_and_throttle_pauses() {
    let (_server, client) = worker(WorkerSettings::default()).await;
    let done = Checkpoint { done_ms: 59_990.0 };
    client.start(LeaseStart { checkpoint: Some(done), ..start(LONG) }).await.unwrap();
    let status = client.status(LEASE, WAIT_MS).await.unwrap();
    assert!(matches!(status, LeaseStatus::Finished(_)), "{status:?}");
    let paused = LeaseId(8);
    client.start(LeaseStart { lease: paused, ..start(LONG) }).await.unwrap();
    client.throttle(paused, 0).await.unwrap();
    let first = client.checkpoint(paused).await.unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    assert_eq!(client.checkpoint(paused).await.unwrap(), first);
}

const USES: &str =
    r#"{"name":"Mira","run_ms":60000,"uses":{"milli_cores":2500,"memory_mb":1,"accelerators":0}}"#;

#[tokio::test]
async fn usage_within_the_lag_is_not_reported() {
    let (_server, client) =
        worker(WorkerSettings { usage_lag_ms: 60_000, ..Default::default() }).await;
    client.start(start(USES)).await.unwrap();
    assert_eq!(client.usage().await.unwrap().used(), Resources::default());
}

#[tokio::test]
async fn usage_after_the_lag_reports_the_resources_in_use() {
    let (_server, client) = worker(WorkerSettings { usage_lag_ms: 50, ..Default::default() }).await;
    client.start(start(USES)).await.unwrap();
    let expected = Resources { milli_cores: 2_500, memory_mb: 1, accelerators: 0 };
    while client.usage().await.unwrap().used() != expected {}
}

#[tokio::test]
async fn unknown_lease_has_an_error_of_its_own() {
    let (_server, client) = worker(WorkerSettings::default()).await;
    let error = client.status(LEASE, 0).await.unwrap_err();
    assert!(matches!(error, WorkerError::UnknownLease(_)), "{error}");
}

#[rstest]
#[case::fail_all(WorkerFaults { fail_all: true, ..Default::default() }, true)]
#[case::lost_response(WorkerFaults { lose_answers: 1, ..Default::default() }, false)]
#[tokio::test]
async fn start_with_a_fault_counts_as_a_start(
    #[case] faults: WorkerFaults,
    #[case] is_answered: bool,
) {
    let (server, client) = worker(WorkerSettings::default()).await;
    server.faults().set(faults.clone());
    let result = client.start(start(SHORT)).await;
    assert_eq!(result.is_ok(), is_answered, "{result:?}");
    let status = client.status(LEASE, WAIT_MS).await.unwrap();
    assert_eq!(matches!(status, LeaseStatus::Failed(_)), faults.fail_all, "{status:?}");
    assert_eq!(server.starts()[0].starts, 1);
}

#[tokio::test]
async fn usage_faults_scale_or_refuse_the_report() {
    let (server, client) = worker(WorkerSettings { usage_lag_ms: 0, ..Default::default() }).await;
    client.start(start(LONG)).await.unwrap();
    while client.usage().await.unwrap().leases.is_empty() {}
    server.faults().update(|f| f.usage_factor = 2.0);
    assert_eq!(client.usage().await.unwrap().used().milli_cores, 1_000);
    server.faults().update(|f| f.usage_down = true);
    let error = client.usage().await.unwrap_err();
    assert!(matches!(error, WorkerError::Refused(_)), "{error}");
}

#[tokio::test]
async fn dead_worker_removes_its_leases() {
    let (server, client) = worker(WorkerSettings::default()).await;
    client.start(start(LONG)).await.unwrap();
    server.faults().update(|f| f.dead = true);
    server.faults().clear();
    let unknown =
        async || matches!(client.status(LEASE, 0).await, Err(WorkerError::UnknownLease(_)));
    while !unknown().await {}
    assert_eq!(server.running(), 0);
}
