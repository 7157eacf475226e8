//! Short load runs against the naive dispatcher with emulated executors, and against fake entries.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use axum::{
    Json, Router,
    extract::Path,
    http::StatusCode,
    routing::{get, post},
};
use emulator::{ExecutorFaults, ExecutorServer, ExecutorSettings};
use load::{LoadPlan, NaiveDispatcher, NaiveUpstream, Report, run};
use serde_json::{Value, json};
use settings::parse;

const SLOTS: u32 = 8;

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

struct Setup {
    executors: Vec<ExecutorServer>,
    naive: NaiveDispatcher,
}

async fn setup() -> Setup {
    let mut executors = Vec::new();
    for _ in 0..2 {
        executors
            .push(ExecutorServer::start(ExecutorSettings::default(), loopback()).await.unwrap());
    }
    let upstream = |executor: &ExecutorServer| NaiveUpstream {
        url: executor.url(),
        service: "notebook".parse().unwrap(),
        slots: SLOTS,
    };
    let upstreams = executors.iter().map(upstream).collect();
    let naive = NaiveDispatcher::start(upstreams, loopback()).await.unwrap();
    Setup { executors, naive }
}

/// Returns a plan of about 200 jobs of one to three short tasks in half a second.
fn plan(target: &str, executors: &[ExecutorServer]) -> LoadPlan {
    let plan = json!({
        "seed": 3,
        "duration_s": 0.5,
        "targets": [target],
        "executors": executors.iter().map(ExecutorServer::url).collect::<Vec<_>>(),
        "services": { "notebook": { "slots": 2 * SLOTS } },
        "streams": [{
            "name": "lookups",
            "team": "players",
            "token": "player",
            "service": "notebook",
            "kind": "npc",
            "deadline_ms": 10_000,
            "rate": { "jobs_per_s": 400.0 },
            "tasks": { "min": 1, "max": 3 },
            "run_time": { "min_ms": 1.0, "max_ms": 10.0 },
            "payload": { "name": "Mira" },
        }],
    });
    parse(&plan.to_string()).unwrap()
}

async fn report(plan: LoadPlan) -> Report {
    run(plan, |_| {}).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_job_is_answered_and_started_once() {
    let setup = setup().await;
    let report = report(plan(&setup.naive.url(), &setup.executors)).await;
    let total = report.total;
    assert!(total.sent > 100, "{report}");
    assert_eq!(total.complete, total.sent, "{report}");
    assert_eq!(report.starts.starts, report.starts.tasks, "{report}");
    assert_eq!(report.violations(), 0, "{report}");
    let stream = &report.windows[0].streams[0];
    assert_eq!(stream.counts, total);
    assert_eq!(stream.response_ms.count, total.complete);
    assert_eq!(stream.complete_slots, stream.offered_slots);
    assert!(stream.goodput_slots > 0.0 && stream.goodput_slots <= stream.complete_slots);
}

#[tokio::test(flavor = "multi_thread")]
async fn resubmissions_that_start_tasks_again_are_violations() {
    let setup = setup().await;
    let mut plan = plan(&setup.naive.url(), &setup.executors);
    plan.streams[0].resubmit_percent = 100.0;
    plan.streams[0].idempotent = false;
    let report = report(plan).await;
    assert_eq!(report.resubmitted, report.total.sent, "{report}");
    assert_eq!(report.starts.repeated_not_idempotent, report.starts.tasks, "{report}");
    assert_eq!(report.starts.repeated_attempts, report.starts.tasks, "{report}");
    assert!(report.violations() >= 2 * report.starts.tasks, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_tasks_and_faults_fail_their_jobs() {
    let setup = setup().await;
    let mut failing = plan(&setup.naive.url(), &setup.executors);
    failing.streams[0].fail_percent = 100.0;
    let failed = report(failing).await;
    assert_eq!(failed.total.failed, failed.total.sent, "{failed}");
    let mut faulty = plan(&setup.naive.url(), &setup.executors);
    let step =
        |e: &ExecutorServer| json!({ "at_s": 0.0, "url": e.url(), "set": { "fail_all": true } });
    faulty.faults =
        setup.executors.iter().map(|e| serde_json::from_value(step(e)).unwrap()).collect();
    report(faulty).await;
    assert!(setup.executors.iter().all(|e| e.faults().get().fail_all));
    setup.executors.iter().for_each(|e| e.faults().set(ExecutorFaults::default()));
}

async fn serve(router: Router) -> String {
    let listener = tokio::net::TcpListener::bind(loopback()).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await });
    url
}

/// Starts a fake entry that replies to every job with `answer`, and returns its URL.
async fn fake_entry(answer: fn(&Value) -> (StatusCode, Value)) -> String {
    let submit = async move |Path(_): Path<String>, Json(job): Json<Value>| {
        let (status, body) = answer(&job);
        (status, Json(body))
    };
    let reads = Arc::new(AtomicU64::new(0));
    let metrics = get(async move || counter_page(reads.fetch_add(1, Ordering::Relaxed)));
    let router =
        Router::new().route("/v1/services/{service}/jobs", post(submit)).route("/metrics", metrics);
    serve(router).await
}

/// Returns a page on which the two series of `x_total` grow by 1 and by 10 with each read.
fn counter_page(reads: u64) -> String {
    let ten = reads * 10;
    format!(
        "# HELP x_total x\nx_total{{a=\"1\"}} {reads}\nx_total{{a=\"2\"}} {ten}\nx_totals {ten}\n"
    )
}

fn answers_of_another_job(job: &Value) -> (StatusCode, Value) {
    let answers: Vec<Value> =
        job["tasks"].as_array().unwrap().iter().map(|_| json!({ "echo": "other/0" })).collect();
    (StatusCode::OK, json!({ "status": "complete", "answers": answers }))
}

fn no_answers(_: &Value) -> (StatusCode, Value) {
    (StatusCode::OK, json!({ "status": "complete", "answers": [] }))
}

fn refused(_: &Value) -> (StatusCode, Value) {
    (StatusCode::SERVICE_UNAVAILABLE, json!({ "status": 503, "not_run": true }))
}

fn garbage(_: &Value) -> (StatusCode, Value) {
    (StatusCode::OK, json!("what"))
}

#[rstest::rstest]
#[case::answers_of_another_job(answers_of_another_job, |r: &Report| r.total.mismatched)]
#[case::no_answers(no_answers, |r: &Report| r.total.mismatched)]
#[case::refused(refused, |r: &Report| r.total.refused)]
#[case::garbage(garbage, |r: &Report| r.total.errors)]
#[tokio::test(flavor = "multi_thread")]
async fn replies_are_counted_by_outcome(
    #[case] answer: fn(&Value) -> (StatusCode, Value),
    #[case] count: fn(&Report) -> u64,
) {
    let report = report(plan(&fake_entry(answer).await, &[])).await;
    assert_eq!(count(&report), report.total.sent, "{report}");
    assert_eq!(report.total.complete, 0);
    assert_eq!(report.error_samples.len(), usize::from(report.total.errors > 0), "{report}");
}

#[tokio::test]
async fn counters_are_summed_over_labels() {
    let url = fake_entry(refused).await;
    let mut plan = plan(&url, &[]);
    plan.metrics.urls = vec![format!("{url}/metrics")];
    plan.metrics.counters = vec!["x_total".to_owned()];
    let report = report(plan).await;
    assert_eq!(report.counters[0].growth, 11.0);
}

#[tokio::test]
async fn plan_with_a_target_that_is_not_loopback_is_an_error() {
    let mut plan = plan("http://127.0.0.1:1", &[]);
    plan.targets = vec!["http://192.0.2.1:80".to_owned()];
    assert!(run(plan, |_| {}).await.is_err());
}

/// Starts a fake entry whose jobs fail as soon as one of them is cancelled, and returns its URL.
async fn cancellable_entry() -> String {
    let cancelled = Arc::new(tokio::sync::watch::Sender::new(false));
    let (sender, receiver) = (Arc::clone(&cancelled), cancelled);
    let submit = async move || {
        let _ = receiver.subscribe().wait_for(|is_cancelled| *is_cancelled).await;
        Json(json!({ "status": "failed", "not_run": true }))
    };
    let cancel = async move || {
        sender.send_replace(true);
        Json(json!({ "status": "failed" }))
    };
    let router = Router::new()
        .route("/v1/services/{service}/jobs", post(submit))
        .route("/v1/jobs/{id}", axum::routing::delete(cancel));
    serve(router).await
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_wave_cancels_jobs_in_progress() {
    let mut plan = plan(&cancellable_entry().await, &[]);
    let wave = json!({ "team": "players", "at_s": 0.3, "percent": 50.0 });
    plan.cancel_waves = vec![serde_json::from_value(wave).unwrap()];
    let report = report(plan).await;
    assert!(report.cancels > 0, "{report}");
    assert_eq!(report.total.cancelled, report.cancels, "{report}");
    assert_eq!(report.total.cancelled + report.total.failed, report.total.sent, "{report}");
}

/// Starts a fake entry that starts the first task of a job and reports the job as not run, and
/// returns its URL.
async fn falsely_refusing_entry(executor: String) -> String {
    let http = reqwest::Client::new();
    let submit = async move |Json(job): Json<Value>| {
        let send = || {
            http.post(format!("{executor}/run/notebook/npc"))
                .header("x-job-id", job["id"].as_str().unwrap())
                .header("x-task-index", 0)
                .header("x-attempt", 1)
                .json(&job["tasks"][0])
                .send()
        };
        while !send().await.unwrap().status().is_success() {
            tokio::task::yield_now().await;
        }
        let (status, body) = refused(&job);
        (status, Json(body))
    };
    let router = Router::new().route("/v1/services/{service}/jobs", post(submit));
    serve(router).await
}

#[tokio::test(flavor = "multi_thread")]
async fn job_falsely_reported_as_not_run_is_a_violation() {
    let setup = setup().await;
    let entry = falsely_refusing_entry(setup.executors[0].url()).await;
    let report = report(plan(&entry, &setup.executors)).await;
    assert_eq!(report.starts.false_not_run, report.total.sent, "{report}");
    assert_eq!(report.violations(), report.total.sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn windows_divide_the_run() {
    let setup = setup().await;
    let mut plan = plan(&setup.naive.url(), &setup.executors);
    let window =
        |name: &str, from_s: f64, to_s: f64| load::Window { name: name.to_owned(), from_s, to_s };
    plan.windows = vec![window("first", 0.0, 0.2), window("rest", 0.2, 0.5)];
    let report = report(plan).await;
    let sent: Vec<u64> = report.windows.iter().map(|w| w.streams[0].counts.sent).collect();
    assert!(sent.iter().all(|count| *count > 0), "{report}");
    assert_eq!(sent.iter().sum::<u64>(), report.total.sent);
    let runs = ["naive", "again"]
        .map(|name| load::NamedReport { name: name.parse().unwrap(), report: report.clone() });
    let table = load::Comparison { runs: runs.to_vec() }.to_string();
    assert_eq!(table.lines().filter(|line| line.contains("lookups")).count(), 4, "{table}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_over_its_limit_does_not_limit_other_streams() {
    let mut plan = plan(&cancellable_entry().await, &[]);
    let mut other = plan.streams[0].clone();
    other.name = "others".parse().unwrap();
    other.team = "game-masters".parse().unwrap();
    other.rate = load::Rate::JobsPerS(20.0);
    plan.streams.push(other);
    plan.max_in_flight = 50;
    let wave = json!({ "team": "players", "at_s": 0.5, "percent": 100.0 });
    plan.cancel_waves = vec![serde_json::from_value(wave).unwrap()];
    let report = report(plan).await;
    let [players, others] = &report.windows[0].streams[..] else { panic!("{report}") };
    assert!(players.counts.sent >= 50 && players.counts.unsent > 0, "{report}");
    assert!(others.counts.sent > 0 && others.counts.unsent == 0, "{report}");
}
