//! A start that the path between entry and agent holds up.

use std::{fs, time::Duration};

use emulator::{
    FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, PathFault, Relay, RelayFaults,
    RunLedger,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::role::Role;

const ANY_PORT: &str = "127.0.0.1:0";
/// Run time of the task, longer than every wait.
const RUN_MS: u64 = 6_000;
/// Growth of the delay: slow enough that the gaps between messages stay short.
const DELAY_STEP_MS: u64 = 20;
const DELAY_PERIOD: Duration = Duration::from_millis(30);
const MAX_DELAY_MS: u64 = 3_500;

fn process(name: &str, store: &LogServer) -> Value {
    json!({ "name": name, "store": { "address": store.addr().to_string() }, "grace_ms": 3_000 })
}

async fn start_executor(id: &str, ledger: &RunLedger) -> FakeExecutor {
    let settings = FakeExecutorSettings {
        id: id.into(),
        pool: "kitchen".into(),
        zone: "a".into(),
        milli_cores: 2_000,
        run_ms: RUN_MS,
        renews_id: false,
    };
    FakeExecutor::start(settings, ledger.clone()).await.expect("an executor starts")
}

/// Guards against a start that is carried out because it has just arrived: the path to its agent has
/// become slower and slower, the path back is dead, and the entry has started the task elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_was_held_up_is_not_carried_out_beside_the_next_one() {
    let dir = std::env::temp_dir().join(format!("held-up-start-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    let addr = ANY_PORT.parse().expect("it is an address");
    let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
    store.put_config(&json!({ "version": 1, "services": [], "routes": [{ "name": "r",
        "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
        "maxAttempts": 2, "stretchFactor": 1.0, "targetCompletionMs": 20_000 }] }));
    let relay = Relay::start().await.expect("a relay starts");
    let settings = json!({ "process": process("entry", &store), "zone": "a", "callers": ANY_PORT,
        "readiness": ANY_PORT, "links": ANY_PORT,
        "advertised_links": relay.addr().to_string() });
    let mut entry = Role::start(&dir, "direct-entry", &settings);
    relay.set_target(entry.addr("links"));
    let ledger = RunLedger::default();
    let first = start_executor("first", &ledger).await;
    let agent = |name: &str, executor: &FakeExecutor| {
        json!({ "process": process(name, &store), "control": ANY_PORT,
            "upstream": executor.addr().to_string() })
    };
    let first_agent = Role::start(&dir, "direct-agent", &agent("first", &first));
    let _first_heartbeats = first.announce(first_agent.addr("control"));
    entry.next_line("upstream");
    // The delay towards the agent grows, and its reports still arrive at once.
    let mut faults = RelayFaults::default();
    while faults.back.delay_ms < MAX_DELAY_MS {
        faults.back.delay_ms += DELAY_STEP_MS;
        relay.set_open_connections(faults, |_| true);
        sleep(DELAY_PERIOD).await;
    }
    let url = format!("http://{}/j/5c0e7a21d94b36f8", entry.addr("callers"));
    let body = json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
    let client = reqwest::Client::builder().no_proxy().build().expect("a client can be built");
    let call = client.post(url).header("Host", "jobs.example").header("Deadline-Ms", "20000");
    let call = tokio::spawn(call.body(body.to_string()).send());
    entry.next_line("placed");
    // Now the reports are held up, too.
    faults.out = PathFault { is_held: true, ..PathFault::default() };
    relay.set_open_connections(faults, |_| true);
    let second = start_executor("second", &ledger).await;
    let second_agent = Role::start(&dir, "direct-agent", &agent("second", &second));
    let _second_heartbeats = second.announce(second_agent.addr("control"));
    let answer = call.await.expect("the call ends").expect("an answer comes");
    assert_eq!(answer.status(), reqwest::StatusCode::OK);
    // What the path held up has arrived by now.
    let end = Instant::now() + Duration::from_millis(MAX_DELAY_MS);
    while Instant::now() < end {
        assert_eq!(ledger.overlaps(), Vec::<String>::new());
        sleep(Duration::from_millis(50)).await;
    }
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
