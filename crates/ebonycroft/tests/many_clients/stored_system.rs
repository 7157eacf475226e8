//! One entry and one agent for stored jobs as child processes, with the emulator's log and executor.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStderr, Command, Stdio},
    thread,
    time::Duration,
};

use emulator::{ExecutorServer, LogServer, LogSettings};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use settings::TokenDigest;
use tokio::time::sleep;
use types::JobId;

/// Loopback address with port 0, so that a listener gets a free port.
const ANY_PORT: &str = "127.0.0.1:0";
const TOKEN: &str = "supervisor";
const OPERATOR_TOKEN: &str = "operator";
/// Attempts at a request, and the pause between them.
const MAX_CALLS: u32 = 300;
const CALL_PERIOD: Duration = Duration::from_millis(200);

/// A role as a child process, which is killed when this is dropped.
struct StoredRole(Child);

impl Drop for StoredRole {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl StoredRole {
    /// Starts a role and returns it with its log line that contains `text`.
    fn start(dir: &Path, role: &str, settings: &Value, text: &str) -> (Self, String) {
        let path = dir.join(format!("{role}.yaml"));
        fs::write(&path, settings.to_string()).expect("settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
            .args([role, "--config"])
            .arg(&path)
            .env("RUST_LOG", "info")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = BufReader::new(child.stderr.take().expect("its output is piped"));
        let line = next_line(output, text);
        (Self(child), line)
    }
}

/// Returns the first line with a text, and reads all further ones in a thread, so that the pipe never
/// fills.
fn next_line(mut output: BufReader<ChildStderr>, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        let length = output.read_line(&mut line).expect("the output can be read");
        assert!(length > 0, "the role ended without a line with {text}");
    }
    thread::spawn(move || output.lines().map_while(Result::ok).for_each(drop));
    line
}

/// Returns the address after `label` in a log line.
fn address_after(line: &str, label: &str) -> SocketAddr {
    let (_, rest) = line.split_once(label).expect("the line has the label");
    let text = rest.split([',', ' ', '\n']).next().expect("an address follows");
    text.parse().expect("it is an address")
}

/// A running system.
pub(crate) struct StoredSystem {
    _log: LogServer,
    _executor: ExecutorServer,
    _agent: StoredRole,
    entry: StoredRole,
    /// Address of the entry's listener for callers.
    pub(crate) callers: SocketAddr,
    /// Address of the entry's listener for operators.
    pub(crate) operators: SocketAddr,
    client: Client,
    dir: PathBuf,
}

impl Drop for StoredSystem {
    fn drop(&mut self) {
        // A folder that is left over disturbs no later test.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl StoredSystem {
    /// Starts a system with further settings of the entry, in a folder named after the test, and waits
    /// until it serves an ordinary request.
    pub(crate) async fn start(test: &str, entry_settings: &Value) -> Self {
        let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder can be made");
        let any_port = ANY_PORT.parse().expect("it is an address");
        let log = LogServer::start(LogSettings::default(), any_port).await.expect("a log starts");
        let executor = ExecutorServer::start(Default::default(), any_port).await;
        let executor = executor.expect("an executor starts");
        let location = json!({ "region": "midlands", "zone": "mid-a", "rack": "a-1" });
        let admin = json!({ "listen": ANY_PORT, "tokens": [TokenDigest::of(OPERATOR_TOKEN)] });
        let callers = json!([{ "team": "line-supervisors", "token": TokenDigest::of(TOKEN) }]);
        let mut settings = json!({ "name": "entry-a", "location": location, "listen": ANY_PORT,
            "peer": ANY_PORT, "admin": admin, "log": log.url(), "callers": callers });
        for (name, value) in entry_settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let (entry, line) = StoredRole::start(&dir, "entry", &settings, "serves callers at");
        let peers = address_after(&line, "peers at ");
        let executor_settings = json!({ "url": executor.url(), "slots": 8, "connections": 64 });
        let settings = json!({ "name": "recipe-01", "pool": "recipe-executors",
            "location": location, "listen": ANY_PORT, "admin": admin, "entries": [peers],
            "log": log.url(), "executor": executor_settings,
            "capacity": { "milli_cores": 32_000, "memory_mb": 65_536, "accelerators": 0 } });
        let (agent, _) = StoredRole::start(&dir, "agent", &settings, "serves entries at");
        let client = Client::builder().no_proxy().pool_max_idle_per_host(0).build();
        let system = Self {
            _log: log,
            _executor: executor,
            _agent: agent,
            entry,
            callers: address_after(&line, "callers at "),
            operators: address_after(&line, "operators at "),
            client: client.expect("a client can be built"),
            dir,
        };
        system.publish().await;
        system.check_ordinary_request().await;
        system
    }

    /// Returns the process id of the entry.
    pub(crate) fn entry_id(&self) -> u32 {
        self.entry.0.id()
    }

    async fn publish(&self) {
        let text = include_str!("../../../../config/shared.yaml");
        let shared: Value = serde_saphyr::from_str(text).expect("it is YAML");
        let url = format!("http://{}/v1/config", self.operators);
        let call = self.client.patch(url).bearer_auth(OPERATOR_TOKEN).header("if-match", "\"0\"");
        let resp = call.body(shared.to_string()).send().await.expect("the entry replies");
        assert_eq!(resp.status(), StatusCode::OK, "{:?}", resp.text().await);
    }

    /// Submits an ordinary job until it is accepted, and checks that it is complete.
    pub(crate) async fn check_ordinary_request(&self) {
        let url = format!("http://{}/v1/services/recipe/jobs", self.callers);
        for _ in 0..MAX_CALLS {
            let tasks = json!([{ "batch": "B-1", "ingredients": ["milk"], "run_ms": 1 }]);
            let body = json!({ "id": JobId::generate(), "kind": "allergens", "tasks": tasks });
            let call = self.client.post(&url).bearer_auth(TOKEN).json(&body);
            if let Ok(resp) = call.send().await {
                match resp.status() {
                    StatusCode::OK => {
                        let reply: Value = resp.json().await.expect("the reply is JSON");
                        assert_eq!(reply["status"], "complete", "{reply}");
                        return;
                    }
                    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {}
                    status => panic!("an ordinary request was answered {status}"),
                }
            }
            sleep(CALL_PERIOD).await;
        }
        panic!("an ordinary request was not served");
    }

    /// Returns the head of a submission up to the fields about its body.
    pub(crate) fn submission_head() -> String {
        format!(
            "POST /v1/services/recipe/jobs HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {TOKEN}\r\n"
        )
    }

    /// Returns the head of a configuration patch up to the fields about its body.
    pub(crate) fn patch_head() -> String {
        format!(
            "PATCH /v1/config HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n\
             If-Match: \"1\"\r\n"
        )
    }
}
