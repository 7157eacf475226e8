//! Requests that the path between a caller and an entry holds up.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use emulator::{
    FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, PathFault, Relay, RelayFaults,
    RunLedger,
};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::sleep,
};

use crate::role::{Role, Signal};

const ANY_PORT: &str = "127.0.0.1:0";
const ID: &str = "5c0e7a21d94b36f8";
/// Run time of the tasks: what the path held up has arrived before the second submission is answered.
const RUN_MS: u64 = 2_500;
/// Processor of an upstream and of a task, so that no upstream runs two of them.
const MILLI_CORES: u32 = 2_000;
/// Wait for the end of a connection, long enough for a busy machine.
const END_WAIT_MS: u64 = 1_000;
/// Resend time with which no request of a test can have been sent again.
const LONG_RESEND_MS: u64 = 600_000;
/// Time by which the end of a connection trails its request after a loss: longer than [`END_WAIT_MS`],
/// and shorter than the run that it must not overlap.
const TRAIL_MS: u64 = 2_000;
/// Bandwidth of the released path: the end of the connection follows its request after some 5 ms.
const BYTES_PER_S: u32 = 50_000;
/// Time for which the caller waits for an answer, and pause before it sends the job again.
const CALLER_TIMEOUT: Duration = Duration::from_millis(500);
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);

/// Two entries, two agents, and a relay between callers and the first entry.
struct HeldUpPath {
    _store: LogServer,
    ledger: RunLedger,
    relay: Relay,
    /// Time between what the relay releases, milliseconds.
    gap_ms: u64,
    entries: Vec<Role>,
    executors: Vec<(FakeExecutor, Role, JoinHandle<()>)>,
}

impl HeldUpPath {
    async fn start(dir: &Path, timing: Value) -> Self {
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
                run_ms: RUN_MS,
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

    fn hold(&self, is_held: bool) {
        let gap_ms = self.gap_ms;
        let out = PathFault { is_held, gap_ms, bytes_per_s: Some(BYTES_PER_S), delay_ms: 0 };
        self.relay.set_faults(RelayFaults { out, back: PathFault::default() });
    }

    /// Sends a job on a path that holds it up, closes the connection, and sends it to the second
    /// entry. Releases the path while the second submission runs.
    async fn resubmit_elsewhere(&mut self, stream: TcpStream) {
        self.submit_twice(stream).await;
        assert_eq!(self.ledger.count_runs(ID), 1, "a run started for a caller who had gone");
        self.entries[0].signal(Signal::TERM);
        // An end that is read together with its request leaves no line.
        for line in self.entries[0].lines_about(ID) {
            let is_held = line["event"] == "accepted" && line["is_held"] == true;
            assert!(is_held || line["event"] == "client_gone", "{line}");
        }
    }

    async fn submit_twice(&mut self, mut stream: TcpStream) {
        self.hold(true);
        stream.write_all(request(ID).as_bytes()).await.expect("the request can be sent");
        sleep(CALLER_TIMEOUT).await;
        drop(stream);
        sleep(RESUBMISSION_DELAY).await;
        let url = format!("http://{}/j/{ID}", self.entries[1].addr("callers"));
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        let call = client.post(url).header("Host", "jobs.example").header("Deadline-Ms", "20000");
        let call = tokio::spawn(call.body(body().to_string()).send());
        self.entries[1].next_line("placed");
        while self.ledger.running() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        self.hold(false);
        let answer = call.await.expect("the call ends").expect("an answer comes");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(self.ledger.overlaps(), Vec::<String>::new());
    }
}

fn body() -> Value {
    json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": MILLI_CORES, "memMb": 64, "estimateMs": 100 }] })
}

fn request(id: &str) -> String {
    let body = body().to_string();
    format!(
        "POST /j/{id} HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 20000\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a job on a connection and reads the answer.
async fn post(stream: &mut TcpStream, id: &str) {
    stream.write_all(request(id).as_bytes()).await.expect("the request can be sent");
    let mut buf = [0; 4_096];
    let length = stream.read(&mut buf).await.expect("an answer comes");
    assert!(buf[..length].starts_with(b"HTTP/1.1 200"), "the request is served");
}

async fn with_held_up_path(test: &str, timing: Value, check: impl AsyncFnOnce(HeldUpPath)) {
    let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    check(HeldUpPath::start(&dir, timing).await).await;
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}

/// Guards against a second run of a job whose request arrives on a new connection together with its
/// end, after the caller has sent the job to another entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_up_first_request_does_not_run_beside_its_resubmission() {
    with_held_up_path(
        "held-up-first-request",
        json!({ "end_wait_ms": END_WAIT_MS }),
        async |mut path| {
            let stream = TcpStream::connect(path.relay.addr()).await.expect("the relay accepts");
            path.resubmit_elsewhere(stream).await;
        },
    )
    .await;
}

/// Guards against the same on a connection that has carried requests before.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_up_later_request_does_not_run_beside_its_resubmission() {
    with_held_up_path(
        "held-up-later-request",
        json!({ "end_wait_ms": END_WAIT_MS }),
        async |mut path| {
            let mut stream =
                TcpStream::connect(path.relay.addr()).await.expect("the relay accepts");
            post(&mut stream, "00000000000000a1").await;
            path.resubmit_elsewhere(stream).await;
        },
    )
    .await;
}

/// Guards against a second run of a job whose request is read some time before the end of its
/// connection: after a loss the sender has one segment under way until that is acknowledged, and the
/// end may be lost again. The wait for the end is over by then.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_up_request_whose_end_trails_it_does_not_run_beside_its_resubmission() {
    with_held_up_path(
        "held-up-trailing-end",
        json!({ "end_wait_ms": END_WAIT_MS }),
        async |mut path| {
            path.gap_ms = TRAIL_MS;
            let stream = TcpStream::connect(path.relay.addr()).await.expect("the relay accepts");
            path.submit_twice(stream).await;
            // The end is read at last, and nothing of the job goes on.
            path.entries[0].next_line("client_gone");
            assert_eq!(path.ledger.overlaps(), Vec::<String>::new());
        },
    )
    .await;
}

/// Guards against a wait of callers who have just read an answer and therefore cannot have sent their next
/// job elsewhere yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_soon_after_an_answer_is_not_held() {
    let timing = json!({ "resend_ms": LONG_RESEND_MS });
    with_held_up_path("soon-after-an-answer", timing, async |mut path| {
        let addr = path.entries[0].addr("callers");
        let mut stream = TcpStream::connect(addr).await.expect("the entry accepts");
        post(&mut stream, ID).await;
        post(&mut stream, ID).await;
        assert_eq!(path.entries[0].next_line("accepted")["is_held"], true, "a new connection");
        assert_eq!(path.entries[0].next_line("accepted")["is_held"], false);
    })
    .await;
}
