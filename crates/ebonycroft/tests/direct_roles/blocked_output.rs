//! Standard output that nobody reads delays no request and ends no process.

use std::{fs, net::SocketAddr};

use emulator::{Ledger, LogServer, LogSettings, StandInExecutor, StandInExecutorSettings};
use reqwest::{Client, StatusCode};
use serde_json::json;

use crate::role::Role;

/// Jobs whose lines together are several times what a pipe holds.
const JOBS: usize = 400;

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
        let any = "127.0.0.1:0";
        let addr = any.parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
        store.put_config(&json!({ "version": 1, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 4, "stretchFactor": 4.0, "targetCompletionMs": 10_000 }] }));
        let process = |name: &str| {
            json!({ "name": name, "store": { "address": store.addr().to_string() },
                "grace_ms": 6_000 })
        };
        let settings = json!({ "process": process("entry"), "zone": "a", "callers": any,
            "readiness": any, "links": any });
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
        let settings = json!({ "process": process("agent"), "control": any,
            "upstream": executor.addr().to_string() });
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
