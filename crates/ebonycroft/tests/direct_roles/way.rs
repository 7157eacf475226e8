//! One entry, one agent and the stand-ins of its executor and of the store.

use std::{fs, path::Path};

use emulator::{FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, RunLedger};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::role::{Role, Signal};

const ANY: &str = "127.0.0.1:0";

/// How a request fares.
#[derive(Clone, Copy)]
pub(crate) struct Terms {
    /// Run time of every task.
    pub(crate) executor_ms: u64,
    /// Time that a job may take beyond its declared run time; a busy machine stays within the
    /// default.
    pub(crate) allowance_ms: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Self { executor_ms: 1, allowance_ms: 10_000 }
    }
}

/// What a request needs on its way.
pub(crate) struct Way {
    _store: LogServer,
    pub(crate) executor: FakeExecutor,
    pub(crate) entry: Role,
    agent: Role,
    pub(crate) client: Client,
    _heartbeats: JoinHandle<()>,
}

impl Way {
    async fn start(dir: &Path, terms: Terms) -> Self {
        let addr = ANY.parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
        store.put_config(&json!({ "version": 7, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 2, "stretchFactor": 1.0,
            "targetCompletionMs": terms.allowance_ms }] }));
        let process = |name: &str| {
            let store = json!({ "address": store.addr().to_string() });
            json!({ "name": name, "store": store, "grace_ms": 3_000 })
        };
        let settings = json!({ "process": process("entry"), "zone": "a", "callers": ANY,
            "readiness": ANY, "links": ANY });
        let mut entry = Role::start(dir, "direct-entry", &settings);
        let executor = FakeExecutorSettings {
            id: "executor".into(),
            pool: "kitchen".into(),
            zone: "a".into(),
            milli_cores: 2_000,
            run_ms: terms.executor_ms,
        };
        let executor = FakeExecutor::start(executor, RunLedger::default()).await;
        let executor = executor.expect("an executor starts");
        let settings = json!({ "process": process("agent"), "control": ANY,
            "upstream": executor.addr().to_string() });
        let agent = Role::start(dir, "direct-agent", &settings);
        let heartbeats = executor.announce(agent.addr("control"));
        entry.line("upstream");
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        Self { _store: store, executor, entry, agent, client, _heartbeats: heartbeats }
    }

    pub(crate) async fn submit(&self, id: &str, body: &Value) -> StatusCode {
        let url = format!("http://{}/j/{id}", self.entry.addr("callers"));
        let call = self.client.post(url).header("Host", "jobs.example").body(body.to_string());
        call.header("Deadline-Ms", "20000").send().await.expect("an answer comes").status()
    }

    /// Waits until the executor runs a task.
    pub(crate) async fn until_full(&self) {
        while self.executor.running() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Stops both roles and returns the lines about the job, of the entry and of the agent.
    pub(crate) fn finish(mut self, id: &str) -> (Vec<Value>, Vec<Value>) {
        self.entry.signal(Signal::TERM);
        self.agent.signal(Signal::TERM);
        (self.entry.lines_about(id), self.agent.lines_about(id))
    }
}

/// Runs a check on a way.
pub(crate) async fn with_way(test: &str, terms: Terms, check: impl AsyncFnOnce(Way)) {
    let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    check(Way::start(&dir, terms).await).await;
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
