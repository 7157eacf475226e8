//! The emulated executor, called through [`HttpExecutor`].

use emulator::{ExecutorFaults, ExecutorServer, ExecutorSettings, FailedTask};
use ports::{Executor, ExecutorError, HttpExecutor, RunRequest};
use rstest::rstest;
use types::{AttemptKey, AttemptNumber, JobId, Payload, TaskIndex, TaskKey};

const TIMEOUT_MS: u64 = 5_000;

fn job(n: u64) -> JobId {
    JobId::from_parts(n, [0; 10])
}

fn request(service: &str, kind: &str, payload: &str) -> RunRequest {
    RunRequest {
        key: AttemptKey {
            task: TaskKey { job: job(1), index: TaskIndex(3) },
            attempt: AttemptNumber::FIRST,
        },
        service: service.parse().unwrap(),
        kind: kind.parse().unwrap(),
        payload: Payload::from_json(payload),
        timeout_ms: TIMEOUT_MS,
        traceparent: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned()),
    }
}

fn npc() -> RunRequest {
    request("notebook", "npc", r#"{"name":"Mira","run_ms":1}"#)
}

async fn executor(settings: ExecutorSettings) -> (ExecutorServer, HttpExecutor) {
    let server = ExecutorServer::start(settings, "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = HttpExecutor::new(server.url(), 1).unwrap();
    (server, client)
}

#[rstest]
#[case::allergens(
    "recipe",
    "allergens",
    r#"{"batch":"b7","ingredients":["wheat flour","Butter","salt"],"run_ms":1}"#,
    r#"{"allergens":["gluten","milk"],"batch":"b7"}"#
)]
#[case::scale(
    "recipe",
    "scale",
    r#"{"recipe":{"serves":4,"ingredients":[{"name":"rice","grams":300.0}]},"serves":10,"run_ms":1}"#,
    r#"{"ingredients":[{"grams":750.0,"name":"rice"}],"serves":10}"#
)]
#[case::label(
    "recipe",
    "label",
    r#"{"batch":"b7","text":"Contains milk","run_ms":1}"#,
    r#"{"batch":"b7","confirmed":true,"text":"Contains milk"}"#
)]
#[case::book(
    "recipe",
    "book",
    r#"{"item":"rice","grams":500.0,"run_ms":1}"#,
    r#"{"booking":1,"grams":500.0,"item":"rice"}"#
)]
#[case::npc(
    "notebook",
    "npc",
    r#"{"name":"Mira","run_ms":1}"#,
    r#"{"home":"Antwerpen","name":"Mira","role":"abbot"}"#
)]
#[case::recap(
    "notebook",
    "recap",
    r#"{"session":"s4","notes":["They met.","They left."],"run_ms":1}"#,
    r#"{"recap":"They met. They left.","session":"s4"}"#
)]
#[case::index(
    "notebook",
    "index",
    r#"{"handout":"map","text":"north of Gent","run_ms":1}"#,
    r#"{"entry":1,"handout":"map","words":3}"#
)]
#[tokio::test]
async fn every_kind_computes_its_answer(
    #[case] service: &str,
    #[case] kind: &str,
    #[case] payload: &str,
    #[case] expected: &str,
) {
    let (_server, client) = executor(ExecutorSettings::default()).await;
    let answer = client.run(request(service, kind, payload)).await.unwrap();
    let value: serde_json::Value = serde_json::from_str(answer.as_str()).unwrap();
    assert_eq!(value, serde_json::from_str::<serde_json::Value>(expected).unwrap());
}

#[tokio::test]
async fn answer_contains_the_echo_and_the_actual_run_time() {
    const RUN_MS: f64 = 20.0;
    let (_server, client) = executor(ExecutorSettings::default()).await;
    let req = request("notebook", "npc", r#"{"name":"Mira","run_ms":20,"echo":"e1"}"#);
    let answer = client.run(req).await.unwrap();
    let value: serde_json::Value = serde_json::from_str(answer.as_str()).unwrap();
    assert_eq!(value["echo"], "e1");
    assert!(value["ran_ms"].as_f64().unwrap() >= RUN_MS, "{value}");
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Answered,
    NotStarted,
    Failed,
    Unknown,
}

fn outcome(result: Result<Payload, ExecutorError>) -> Outcome {
    match result {
        Ok(_) => Outcome::Answered,
        Err(ExecutorError::NotStarted(_)) => Outcome::NotStarted,
        Err(ExecutorError::Failed(_)) => Outcome::Failed,
        Err(ExecutorError::Unknown(_)) => Outcome::Unknown,
    }
}

fn failed_task(index: u32) -> ExecutorFaults {
    let task = FailedTask { job: job(1), index: TaskIndex(index) };
    ExecutorFaults { fail_tasks: vec![task], ..Default::default() }
}

#[rstest]
#[case::none(ExecutorFaults::default(), Outcome::Answered, 1)]
#[case::fail_all(ExecutorFaults { fail_all: true, ..Default::default() }, Outcome::Failed, 1)]
#[case::fail_task(failed_task(3), Outcome::Failed, 1)]
#[case::fail_other_task(failed_task(4), Outcome::Answered, 1)]
#[case::refuse(ExecutorFaults { refuse: true, ..Default::default() }, Outcome::NotStarted, 0)]
#[case::lost_response(ExecutorFaults { lose_answers: 1, ..Default::default() }, Outcome::Unknown, 1)]
#[tokio::test]
async fn faults_determine_the_outcome_of_a_task(
    #[case] faults: ExecutorFaults,
    #[case] expected: Outcome,
    #[case] expected_starts: usize,
) {
    let (server, client) = executor(ExecutorSettings::default()).await;
    server.faults().set(faults);
    assert_eq!(outcome(client.run(npc()).await), expected);
    assert_eq!(server.starts().len(), expected_starts);
}

#[tokio::test]
async fn silent_executor_starts_tasks_and_never_responds() {
    let (server, client) = executor(ExecutorSettings::default()).await;
    server.faults().set(ExecutorFaults { silent: true, ..Default::default() });
    let result = client.run(RunRequest { timeout_ms: 100, ..npc() }).await;
    assert_eq!(outcome(result), Outcome::Unknown);
    assert_eq!((server.starts().len(), server.running()), (1, 1));
}

#[tokio::test]
async fn dead_executor_resets_connections_and_works_after_its_faults_are_cleared() {
    let (server, client) = executor(ExecutorSettings::default()).await;
    let slow = request("notebook", "npc", r#"{"name":"Mira","run_ms":60000}"#);
    let (cut, ()) = tokio::join!(client.run(slow), async {
        while server.running() == 0 {
            tokio::task::yield_now().await;
        }
        server.faults().update(|f| f.dead = true);
    });
    assert_eq!(outcome(cut), Outcome::Unknown);
    server.faults().clear();
    while outcome(client.run(npc()).await) != Outcome::Answered {}
    assert_eq!(server.running(), 0);
}

#[tokio::test]
async fn silent_connections_stay_silent_while_new_ones_work() {
    let (server, client) = executor(ExecutorSettings::default()).await;
    client.run(npc()).await.unwrap();
    server.faults().update(|f| f.silence_connections = true);
    let result = client.run(RunRequest { timeout_ms: 100, ..npc() }).await;
    assert_eq!(outcome(result), Outcome::Unknown);
    assert_eq!(server.starts()[0].starts, 1);
    let other = HttpExecutor::new(server.url(), 1).unwrap();
    assert_eq!(outcome(other.run(npc()).await), Outcome::Answered);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused_as_not_run() {
    let settings = ExecutorSettings { connections: 1, ..Default::default() };
    let (server, client) = executor(settings).await;
    client.run(npc()).await.unwrap();
    let second = HttpExecutor::new(server.url(), 1).unwrap();
    assert_eq!(outcome(second.run(npc()).await), Outcome::NotStarted);
    assert_eq!(outcome(client.run(npc()).await), Outcome::Answered);
}

#[tokio::test]
async fn starts_are_read_and_faults_are_set_over_http() {
    let (server, client) = executor(ExecutorSettings::default()).await;
    client.run(npc()).await.unwrap();
    client.run(npc()).await.unwrap();
    let http = reqwest::Client::new();
    let starts: emulator::StartsBody =
        http.get(format!("{}/starts", server.url())).send().await.unwrap().json().await.unwrap();
    assert_eq!(starts.starts, server.starts());
    assert_eq!((starts.starts[0].starts, starts.starts[0].finished), (2, 2));
    let faults = serde_json::json!({ "refuse": true });
    let resp = http.post(format!("{}/faults", server.url())).json(&faults).send().await.unwrap();
    assert!(resp.status().is_success());
    assert_eq!(outcome(client.run(npc()).await), Outcome::NotStarted);
}
