//! Two entries, two agents, and a path between callers and the first entry that a test disturbs.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use emulator::{
    FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, PathFault, Relay, RelayFaults,
    RunLedger,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::sleep,
};

use crate::role::Role;

const ANY_PORT: &str = "127.0.0.1:0";
/// Processor of an upstream and of a task, so that no upstream runs two of them.
const MILLI_CORES: u32 = 2_000;
/// Bandwidth of the released path: the end of the connection follows its request after some 5 ms.
const BYTES_PER_S: u32 = 50_000;
/// Time after which a refused job is submitted again.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Two entries, two agents, and a relay between callers and the first entry.
pub(crate) struct CallerPath {
    _store: LogServer,
    pub(crate) ledger: RunLedger,
    pub(crate) relay: Relay,
    /// Time between what the relay releases, milliseconds.
    pub(crate) gap_ms: u64,
    pub(crate) entries: Vec<Role>,
    pub(crate) executors: Vec<(FakeExecutor, Role, JoinHandle<()>)>,
}

impl CallerPath {
    async fn start(dir: &Path, run_ms: u64, timing: Value) -> Self {
        let addr = ANY_PORT.parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
        store.put_config(&json!({ "version": 1, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 2, "stretchFactor": 1.0, "targetCompletionMs": 20_000 }] }));
        let process = |name: &str, seeds: &[SocketAddr]| {
            json!({ "name": name, "store": { "address": store.addr().to_string() },
                "grace_ms": 3_000, "seeds": seeds, "timing": timing })
        };
        let entries: Vec<Role> = ["first", "second"]
            .iter()
            .map(|name| {
                let dir = dir.join(name);
                fs::create_dir_all(&dir).expect("a folder can be made");
                let settings = json!({ "process": process(name, &[]), "zone": "a",
                    "callers": ANY_PORT, "readiness": ANY_PORT, "links": ANY_PORT });
                Role::start(&dir, "direct-entry", &settings)
            })
            .collect();
        let links: Vec<SocketAddr> = entries.iter().map(|entry| entry.addr("links")).collect();
        let ledger = RunLedger::default();
        let mut executors = Vec::new();
        for id in ["one", "two"] {
            let settings = FakeExecutorSettings {
                id: id.into(),
                pool: "kitchen".into(),
                zone: "a".into(),
                milli_cores: MILLI_CORES,
                run_ms,
                renews_id: false,
            };
            let executor = FakeExecutor::start(settings, ledger.clone()).await;
            let executor = executor.expect("an executor starts");
            let settings = json!({ "process": process(id, &links), "control": ANY_PORT,
                "upstream": executor.addr().to_string() });
            let dir = dir.join(id);
            fs::create_dir_all(&dir).expect("a folder can be made");
            let agent = Role::start(&dir, "direct-agent", &settings);
            let heartbeats = executor.announce(agent.addr("control"));
            executors.push((executor, agent, heartbeats));
        }
        let relay = Relay::start().await.expect("a relay starts");
        relay.set_target(entries[0].addr("callers"));
        let mut system = Self { _store: store, ledger, relay, gap_ms: 0, entries, executors };
        for entry in &mut system.entries {
            for _ in 0..system.executors.len() {
                entry.next_line("upstream");
            }
        }
        system
    }

    /// Holds up what callers send to the first entry, and the ends of their connections.
    pub(crate) fn hold(&self, is_held: bool) {
        let gap_ms = self.gap_ms;
        let out = PathFault { is_held, gap_ms, bytes_per_s: Some(BYTES_PER_S), delay_ms: 0 };
        self.relay.set_faults(RelayFaults { out, back: PathFault::default() });
    }
}

/// Returns the body of a job of one task that fills an upstream.
fn body(spec: &str) -> Value {
    json!({ "spec": spec, "bestEffort": true,
        "steps": [{ "count": 1, "cpu": MILLI_CORES, "memMb": 64, "estimateMs": 100 }] })
}

/// Returns the request of a caller who waits for 20 seconds.
pub(crate) fn request(id: &str, spec: &str) -> String {
    let body = body(spec).to_string();
    format!(
        "POST /j/{id} HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 20000\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a job on a connection and returns the answer.
pub(crate) async fn submit(stream: &mut TcpStream, id: &str, spec: &str) -> String {
    stream.write_all(request(id, spec).as_bytes()).await.expect("the request can be sent");
    let mut answer = Vec::new();
    // The body is an object.
    while answer.last() != Some(&b'}') {
        let length = stream.read_buf(&mut answer).await.expect("an answer comes");
        assert!(length > 0, "the connection ends within an answer");
    }
    String::from_utf8(answer).expect("the answer is text")
}

/// Submits a job on a new connection each time until it is not refused with 503, and returns the
/// answer: an entry on a busy machine may take itself for suspended.
pub(crate) async fn submit_until_accepted(addr: SocketAddr, id: &str, spec: &str) -> String {
    loop {
        let mut stream = TcpStream::connect(addr).await.expect("the entry accepts");
        let answer = submit(&mut stream, id, spec).await;
        if !answer.starts_with("HTTP/1.1 503") {
            return answer;
        }
        sleep(RETRY_PERIOD).await;
    }
}

/// Runs a check on a system of its own, whose settings are in a folder named after the test and whose
/// tasks take `run_ms` unless their payload states another time.
pub(crate) async fn with_caller_path(
    test: &str,
    run_ms: u64,
    timing: Value,
    check: impl AsyncFnOnce(CallerPath),
) {
    let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    check(CallerPath::start(&dir, run_ms, timing).await).await;
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
