//! Each decision on the way of a request gives exactly one line with its inputs and their age.

use std::{fs, path::Path};

use emulator::{
    Ledger, LogServer, LogSettings, StandInExecutor, StandInExecutorFaults, StandInExecutorSettings,
};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::role::{Role, Signal};

const ANY: &str = "127.0.0.1:0";
const ID: &str = "5c0e7a21d94b36f8";

struct Way {
    _store: LogServer,
    executor: StandInExecutor,
    entry: Role,
    agent: Role,
    client: Client,
    _heartbeats: JoinHandle<()>,
}

impl Way {
    async fn start(dir: &Path, executor_ms: u64) -> Self {
        let addr = ANY.parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
        store.put_config(&json!({ "version": 7, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 2, "stretchFactor": 1.0, "targetCompletionMs": 400 }] }));
        let process = |name: &str| {
            let store = json!({ "address": store.addr().to_string() });
            json!({ "name": name, "store": store, "grace_ms": 3_000 })
        };
        let settings = json!({ "process": process("entry"), "zone": "a", "callers": ANY,
            "readiness": ANY, "links": ANY });
        let mut entry = Role::start(dir, "direct-entry", &settings);
        let executor = StandInExecutorSettings {
            id: "executor".into(),
            pool: "kitchen".into(),
            zone: "a".into(),
            milli_cores: 2_000,
            run_ms: executor_ms,
        };
        let executor = StandInExecutor::start(executor, Ledger::default()).await;
        let executor = executor.expect("an executor starts");
        let settings = json!({ "process": process("agent"), "control": ANY,
            "upstream": executor.addr().to_string() });
        let agent = Role::start(dir, "direct-agent", &settings);
        let heartbeats = executor.announce(agent.addr("control"));
        entry.line("upstream");
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        Self { _store: store, executor, entry, agent, client, _heartbeats: heartbeats }
    }

    async fn submit(&self, id: &str, body: &Value) -> StatusCode {
        let url = format!("http://{}/j/{id}", self.entry.addr("callers"));
        let call = self.client.post(url).header("Host", "jobs.example").body(body.to_string());
        call.header("Deadline-Ms", "3000").send().await.expect("an answer comes").status()
    }

    /// Waits until the executor runs a task.
    async fn until_full(&self) {
        while self.executor.running() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Stops both roles and returns the lines about the job, of the entry and of the agent.
    fn finish(mut self) -> (Vec<Value>, Vec<Value>) {
        self.entry.signal(Signal::TERM);
        self.agent.signal(Signal::TERM);
        (self.entry.lines_about(ID), self.agent.lines_about(ID))
    }
}

fn job(tasks: u32) -> Value {
    json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": tasks, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] })
}

fn events(lines: &[Value]) -> Vec<&str> {
    lines.iter().filter_map(|line| line["event"].as_str()).collect()
}

async fn with_way(test: &str, executor_ms: u64, check: impl AsyncFnOnce(Way)) {
    let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    check(Way::start(&dir, executor_ms).await).await;
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_served() {
    with_way("served", 20, async |way| {
        assert_eq!(way.submit(ID, &job(2)).await, StatusCode::OK);
        let (entry, agent) = way.finish();
        assert_eq!(events(&entry), ["accepted", "placed", "answered"]);
        assert_eq!((&entry[0]["config"], &entry[0]["tasks"]), (&json!(7), &json!(2)));
        assert!(entry[1]["view_age_ms"].is_u64() && entry[1]["free_milli_cores"] == 0);
        assert_eq!(entry[2]["end"], "succeeded");
        let mut agent_events = events(&agent);
        agent_events.sort_unstable();
        assert_eq!(agent_events, ["settled", "settled", "started", "started"]);
        assert!(agent.iter().all(|line| line["task"].is_string()));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_fails_twice() {
    with_way("fails", 20, async |way| {
        way.executor.set_faults(StandInExecutorFaults { fails_all: true, ..Default::default() });
        assert_eq!(way.submit(ID, &job(1)).await, StatusCode::OK);
        let (entry, agent) = way.finish();
        assert_eq!(events(&entry)[..2], ["accepted", "placed"]);
        let answered = entry.last().expect("there are lines");
        assert_eq!((&answered["event"], &answered["end"]), (&json!("answered"), &json!("failed")));
        let settled: Vec<_> = agent.iter().filter(|line| line["event"] == "settled").collect();
        assert!(settled.iter().all(|line| line["outcome"] == "failed"), "{settled:?}");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_there_is_no_room_for() {
    with_way("no-room", 1_000, async |way| {
        let (jobs, one) = (job(2), job(1));
        let first = way.submit("0000000000000001", &jobs);
        let second = async {
            way.until_full().await;
            way.submit(ID, &one).await
        };
        let (_, status) = tokio::join!(first, second);
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
        let (entry, agent) = way.finish();
        assert_eq!(events(&entry), ["accepted", "answered"]);
        let answered = &entry[1];
        assert_eq!(answered["end"], "overloaded");
        assert_eq!((&answered["agents"], &answered["open_agents"]), (&json!(1), &json!(1)));
        assert_eq!(answered["most_free_milli_cores"], 0);
        assert!(answered["oldest_view_ms"].is_u64() && agent.is_empty());
    })
    .await;
}

types::cases! {
    fn a_call_that_is_rejected(path: &str, body: &str, status: u16) {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
        let name = format!("rejected-{status}-{}", body.len());
        runtime.block_on(with_way(&name, 20, async |way| {
            let url = format!("http://{}{path}", way.entry.addr("callers"));
            let call = way.client.post(url).header("Host", "jobs.example").body(body.to_owned());
            assert_eq!(call.send().await.expect("an answer comes").status().as_u16(), status);
            let (entry, agent) = way.finish();
            assert_eq!(events(&entry), ["rejected"]);
            let line = &entry[0];
            assert_eq!((&line["status"], &line["config"]), (&json!(status), &json!(7)));
            assert!(line["cause"].is_string() && agent.is_empty());
        }));
    }
    unknown_path: ("/k/5c0e7a21d94b36f8", "{}", 404),
    no_json: ("/j/5c0e7a21d94b36f8", "{", 400),
    kept_job: ("/j/5c0e7a21d94b36f8", r#"{"steps":[{"count":1}]}"#, 503),
}
