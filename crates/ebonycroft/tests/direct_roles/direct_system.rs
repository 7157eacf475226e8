//! One entry and one agent for direct jobs, with fakes of the executor and of the store.

use std::{
    fs,
    path::{Path, PathBuf},
};

use emulator::{FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, RunLedger};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::role::{Role, Signal};

/// Loopback address with port 0, so that a listener gets a free port.
const ANY_PORT: &str = "127.0.0.1:0";

/// Run time of tasks, and time that jobs may take.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    /// Run time of every task, milliseconds.
    pub(crate) executor_ms: u64,
    /// Time that a job may take beyond its declared run time, milliseconds. The default is long
    /// enough for a busy machine.
    pub(crate) allowance_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { executor_ms: 1, allowance_ms: 10_000 }
    }
}

/// A running entry and agent, and what they need.
pub(crate) struct DirectSystem {
    _store: LogServer,
    pub(crate) executor: FakeExecutor,
    pub(crate) ledger: RunLedger,
    pub(crate) entry: Role,
    pub(crate) agent: Role,
    pub(crate) client: Client,
    heartbeats: JoinHandle<()>,
    dir: PathBuf,
    agent_settings: Value,
}

impl DirectSystem {
    async fn start(dir: &Path, timing: Timing, entry_settings: &Value, limits: &Value) -> Self {
        let addr = ANY_PORT.parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
        store.put_config(
            &json!({ "version": 7, "limits": limits, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 2, "stretchFactor": 1.0,
            "targetCompletionMs": timing.allowance_ms }] }),
        );
        let process = |name: &str| {
            let store = json!({ "address": store.addr().to_string() });
            json!({ "name": name, "store": store, "grace_ms": 3_000 })
        };
        let mut settings = json!({ "process": process("entry"), "zone": "a", "callers": ANY_PORT,
            "readiness": ANY_PORT, "links": ANY_PORT });
        for (name, value) in entry_settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let mut entry = Role::start(dir, "direct-entry", &settings);
        let executor = FakeExecutorSettings {
            id: "executor".into(),
            pool: "kitchen".into(),
            zone: "a".into(),
            milli_cores: 2_000,
            run_ms: timing.executor_ms,
            renews_id: false,
        };
        let ledger = RunLedger::default();
        let executor = FakeExecutor::start(executor, ledger.clone()).await;
        let executor = executor.expect("an executor starts");
        let settings = json!({ "process": process("agent"), "control": ANY_PORT,
            "upstream": executor.addr().to_string() });
        let agent = Role::start(dir, "direct-agent", &settings);
        let heartbeats = executor.announce(agent.addr("control"));
        entry.next_line("upstream");
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        Self {
            _store: store,
            executor,
            ledger,
            entry,
            agent,
            client,
            heartbeats,
            dir: dir.to_owned(),
            agent_settings: settings,
        }
    }

    /// Submits a job and returns the status of the reply.
    pub(crate) async fn submit(&self, id: &str, body: &Value) -> StatusCode {
        self.try_submit(id, body).await.expect("an answer comes")
    }

    /// Submits a job and returns the status of the reply, or `None` if the connection ends without
    /// one.
    pub(crate) async fn try_submit(&self, id: &str, body: &Value) -> Option<StatusCode> {
        let url = format!("http://{}/j/{id}", self.entry.addr("callers"));
        let call = self.client.post(url).header("Host", "jobs.example").body(body.to_string());
        let reply = call.header("Deadline-Ms", "20000").send().await.ok()?;
        Some(reply.status())
    }

    /// Submits a job; the returned task ends with the status of the reply.
    pub(crate) fn call(&self, id: &str, body: &Value) -> JoinHandle<StatusCode> {
        let url = format!("http://{}/j/{id}", self.entry.addr("callers"));
        let call = self.client.post(url).header("Host", "jobs.example").body(body.to_string());
        let call = call.header("Deadline-Ms", "20000");
        tokio::spawn(async move { call.send().await.expect("an answer comes").status() })
    }

    /// Requests to cancel a job and returns the status of the reply.
    pub(crate) async fn cancel(&self, id: &str) -> StatusCode {
        let url = format!("http://{}/j/{id}", self.entry.addr("callers"));
        let call = self.client.delete(url).header("Host", "jobs.example");
        call.send().await.expect("an answer comes").status()
    }

    /// Waits until the executor runs two tasks, which is all that it can run at the same time.
    pub(crate) async fn until_executor_is_full(&self) {
        while self.executor.running() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Waits until the executor runs nothing.
    pub(crate) async fn until_executor_is_idle(&self) {
        while self.executor.running() > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Kills the agent and starts another one for the same executor.
    pub(crate) fn replace_agent(&mut self) {
        self.agent.signal(Signal::KILL);
        self.agent = Role::start(&self.dir, "direct-agent", &self.agent_settings);
        self.heartbeats.abort();
        self.heartbeats = self.executor.announce(self.agent.addr("control"));
    }

    /// Stops the agent and returns the events of its remaining decision lines.
    pub(crate) fn finish_agent(mut self) -> Vec<String> {
        self.agent.signal(Signal::TERM);
        let event = |line: Value| line["event"].as_str().map(str::to_owned);
        self.agent.remaining_lines().into_iter().filter_map(event).collect()
    }

    /// Stops both roles and returns the decision lines about a job: those of the entry and those of
    /// the agent.
    pub(crate) fn finish(mut self, id: &str) -> (Vec<Value>, Vec<Value>) {
        self.entry.signal(Signal::TERM);
        self.agent.signal(Signal::TERM);
        (self.entry.lines_about(id), self.agent.lines_about(id))
    }
}

/// Runs a check on a system of its own, whose settings are in a folder named after the test.
pub(crate) async fn with_direct_system(
    test: &str,
    timing: Timing,
    check: impl AsyncFnOnce(DirectSystem),
) {
    with_entry_settings(test, timing, &Value::Null, check).await;
}

/// As [`with_direct_system`], with further settings of the entry.
pub(crate) async fn with_entry_settings(
    test: &str,
    timing: Timing,
    entry_settings: &Value,
    check: impl AsyncFnOnce(DirectSystem),
) {
    with_request_limits(test, timing, entry_settings, &json!({}), check).await;
}

/// As [`with_entry_settings`], with limits of requests in the configuration.
pub(crate) async fn with_request_limits(
    test: &str,
    timing: Timing,
    entry_settings: &Value,
    limits: &Value,
    check: impl AsyncFnOnce(DirectSystem),
) {
    let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    check(DirectSystem::start(&dir, timing, entry_settings, limits).await).await;
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
