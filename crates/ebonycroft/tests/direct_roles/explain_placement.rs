//! `ebonycroft explain-placement` against a running entry, and without one.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
};

use emulator::{FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, RunLedger};
use serde_json::{Value, json};

use crate::role::Role;

const ANY_PORT: &str = "127.0.0.1:0";

/// Returns a loopback address that was free a moment ago.
fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port is free");
    listener.local_addr().expect("it has an address")
}

fn explain(metrics: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
        .args(["explain-placement", "--metrics", &metrics.to_string()])
        .args(args)
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

// An operator must learn from the error which setting to check.
#[test]
fn an_unreachable_entry_is_an_error_that_says_what_to_check() {
    let output = explain(free_addr(), &["--pool", "kitchen"]);
    assert_eq!(output.status.code(), Some(1));
    let error = text(&output.stderr);
    assert!(error.contains("Check that the entry runs"), "{error}");
    assert!(error.contains("process.metrics"), "{error}");
}

#[test]
fn help_lists_the_parameters() {
    let output = explain(free_addr(), &["--help"]);
    assert!(output.status.success());
    for option in ["--pool", "--milli-cores", "--memory-mb", "--tasks", "--run-ms", "--urgency"] {
        assert!(text(&output.stdout).contains(option), "{option}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_entry_says_where_tasks_start_and_why_others_wait() {
    let dir = std::env::temp_dir().join(format!("explain-placement-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    let addr = ANY_PORT.parse().expect("it is an address");
    let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
    let metrics = free_addr();
    let store_settings = json!({ "address": store.addr().to_string() });
    let process = json!({ "name": "entry", "store": store_settings, "grace_ms": 3_000,
        "metrics": metrics.to_string() });
    let settings = json!({ "process": process, "zone": "a", "callers": ANY_PORT,
        "readiness": ANY_PORT, "links": ANY_PORT, "placement": { "look_ahead": true } });
    let mut entry = Role::start(&dir, "direct-entry", &settings);
    let executor = FakeExecutorSettings {
        id: "executor".into(),
        pool: "kitchen".into(),
        zone: "a".into(),
        milli_cores: 2_000,
        run_ms: 1,
        renews_id: false,
    };
    let executor = FakeExecutor::start(executor, RunLedger::default()).await;
    let executor = executor.expect("an executor starts");
    let process = json!({ "name": "agent", "store": store_settings, "grace_ms": 3_000 });
    let settings = json!({ "process": process, "control": ANY_PORT,
        "upstream": executor.addr().to_string() });
    let agent = Role::start(&dir, "direct-agent", &settings);
    let heartbeats = executor.announce(agent.addr("control"));
    entry.next_line("upstream");

    let job = ["--pool", "kitchen", "--milli-cores", "1000", "--tasks", "3"];
    let answer = tokio::task::spawn_blocking(move || {
        loop {
            let output = explain(metrics, &[&job[..], &["--json"]].concat());
            let error = text(&output.stderr);
            let reply: Value = serde_json::from_slice(&output.stdout).expect(&error);
            // The first report of the agent may follow its upstream.
            if reply["placed"] == 2 {
                return (reply, text(&explain(metrics, &job).stdout));
            }
        }
    });
    let (reply, table) = answer.await.expect("the entry answers");
    assert_eq!(reply["waiting"], 1);
    assert_eq!(reply["agents"][0]["tasks"], 2);
    assert_eq!(reply["agents"][0]["reason"], "no_room");
    assert!(table.contains("2 of 3 tasks would start now, 1 would wait"), "{table}");
    assert!(table.contains("no_room"), "{table}");

    let wrong = explain(metrics, &["--pool", "kitchen", "--tasks", "none"]);
    assert_eq!(wrong.status.code(), Some(4));
    assert!(text(&wrong.stderr).contains("tasks: invalid digit"), "{}", text(&wrong.stderr));
    heartbeats.abort();
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
