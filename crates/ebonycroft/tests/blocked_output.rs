//! Standard output that nobody reads delays no request and ends no process.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
};

use emulator::{Ledger, StandInExecutor, StandInExecutorSettings, StandInStore, StandInStoreRates};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

/// Jobs whose lines together are several times what a pipe holds.
const JOBS: usize = 400;

/// A role whose output is read up to its line `start`.
struct Role {
    child: Child,
    /// Held open and not read.
    _output: BufReader<ChildStdout>,
    start: Value,
}

impl Drop for Role {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Role {
    fn start(dir: &Path, role: &str, settings: &Value) -> Self {
        let path: PathBuf = dir.join(format!("{role}.yaml"));
        fs::write(&path, settings.to_string()).expect("settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
            .args([role, "--config"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("its output is piped"));
        let mut first = String::new();
        output.read_line(&mut first).expect("the first line can be read");
        let start = serde_json::from_str(&first).expect("the first line is an object");
        Self { child, _output: output, start }
    }

    fn addr(&self, name: &str) -> SocketAddr {
        let text = self.start.get(name).and_then(Value::as_str);
        text.and_then(|text| text.parse().ok()).expect("the line start has the address")
    }
}

async fn submit(client: &Client, entry: SocketAddr, n: usize) -> Option<StatusCode> {
    let body = json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 50 }] });
    let call = client.post(format!("http://{entry}/j/{n:016x}")).header("Host", "jobs.example");
    let answer = call.header("Deadline-Ms", "20000").body(body.to_string()).send().await.ok()?;
    Some(answer.status())
}

#[test]
fn requests_are_served_while_nobody_reads_the_lines() {
    let dir = std::env::temp_dir().join(format!("blocked-output-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(async {
        let store =
            StandInStore::start(StandInStoreRates::default()).await.expect("a store starts");
        store.put_config(&json!({ "version": 1, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 4, "stretchFactor": 4.0, "targetCompletionMs": 10_000 }] }));
        let (any, store) = ("127.0.0.1:0", store);
        let settings = json!({ "name": "entry", "zone": "a", "callers": any, "readiness": any,
            "links": any, "store": store.addr().to_string(), "grace_ms": 6_000 });
        let entry = Role::start(&dir, "direct-entry", &settings);
        let executor = StandInExecutorSettings {
            id: "executor".into(),
            pool: "kitchen".into(),
            zone: "a".into(),
            milli_cores: 8_000,
            run_ms: 1,
        };
        let executor = StandInExecutor::start(executor, Ledger::default()).await;
        let executor = executor.expect("an executor starts");
        let settings = json!({ "name": "agent", "control": any,
            "upstream": executor.addr().to_string(), "store": store.addr().to_string(),
            "grace_ms": 6_000 });
        let agent = Role::start(&dir, "direct-agent", &settings);
        let _heartbeats = executor.announce(agent.addr("control"));
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        let callers = entry.addr("callers");
        while submit(&client, callers, JOBS).await != Some(StatusCode::OK) {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        for n in 0..JOBS {
            assert_eq!(submit(&client, callers, n).await, Some(StatusCode::OK), "job {n}");
        }
    });
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
