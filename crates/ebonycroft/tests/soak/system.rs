use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use emulator::{FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, RunLedger};
use reqwest::{Client, StatusCode};
use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::{caller, process::Process};

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Tasks that an executor has room for.
pub(crate) const SLOTS: usize = 4;
const TASK_MS: u64 = 120;
/// Ends a run that hangs.
const HANG: Duration = Duration::from_secs(60);

/// Entries, agents, executors and the store.
pub(crate) struct System {
    pub(crate) store: LogServer,
    pub(crate) ledger: RunLedger,
    pub(crate) executors: Vec<FakeExecutor>,
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    /// Where callers connect; the same over restarts.
    pub(crate) callers: Arc<Mutex<Vec<SocketAddr>>>,
    _heartbeats: Vec<JoinHandle<()>>,
    dir: PathBuf,
}

impl System {
    pub(crate) async fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder can be made");
        let any = "127.0.0.1:0".parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), any).await.expect("a store starts");
        store.put_config(&config(1));
        let ledger = RunLedger::default();
        let (mut executors, mut agents, mut heartbeats) = (Vec::new(), Vec::new(), Vec::new());
        let entries: Vec<Process> =
            (0..ENTRIES).map(|i| start_entry(&dir, i, store.addr())).collect();
        for i in 0..AGENTS {
            let settings = FakeExecutorSettings {
                id: format!("executor-{i}"),
                pool: "kitchen".into(),
                zone: "mid-a".into(),
                milli_cores: u32::try_from(SLOTS).expect("it is small") * 1_000,
                run_ms: TASK_MS,
            };
            let executor = FakeExecutor::start(settings, ledger.clone()).await;
            let executor = executor.expect("an executor starts");
            let agent = start_agent(&dir, i, store.addr(), executor.addr());
            heartbeats.push(executor.announce(agent.addr("control")));
            executors.push(executor);
            agents.push(agent);
        }
        let callers = entries.iter().map(|entry| entry.addr("callers")).collect();
        let callers = Arc::new(Mutex::new(callers));
        let system = Self {
            store,
            ledger,
            executors,
            entries,
            agents,
            callers,
            _heartbeats: heartbeats,
            dir,
        };
        system.until_serving().await;
        system
    }

    /// Waits until every entry serves a job.
    pub(crate) async fn until_serving(&self) {
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        let start = std::time::Instant::now();
        for (i, entry) in self.entries.iter().enumerate() {
            let mut n = 0_u64;
            loop {
                n += 1;
                let id = format!("{:016x}", 0xffff_0000_0000_0000_u64 + i as u64 * 10_000 + n);
                let answer = caller::send(&client, entry.addr("callers"), &id, 1).await;
                if answer == Some((StatusCode::OK, true)) {
                    break;
                }
                assert!(start.elapsed() < HANG, "the system does not serve again");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        // The folder holds settings only.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A version of the configuration.
pub(crate) fn config(version: u64) -> serde_json::Value {
    json!({ "version": version, "services": [{ "name": "kitchen" }], "routes": [{
        "name": "r", "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen",
        "priority": 1, "maxAttempts": 4, "stretchFactor": 4.0, "targetCompletionMs": 800 }] })
}

/// Starts a role, then pins the addresses that it has bound for its later starts.
fn start_pinned(
    dir: &Path,
    role: &'static str,
    name: &str,
    mut settings: serde_json::Value,
    bound: &[&str],
) -> Process {
    let path = dir.join(format!("{name}.yaml"));
    fs::write(&path, settings.to_string()).expect("settings can be written");
    let process = Process::start(role, &path);
    for field in bound {
        settings[*field] = process.addr(field).to_string().into();
    }
    fs::write(&path, settings.to_string()).expect("settings can be written");
    process
}

fn process(name: &str, store: SocketAddr) -> serde_json::Value {
    json!({ "name": name, "store": { "address": store.to_string() }, "grace_ms": 6_000 })
}

fn start_entry(dir: &Path, i: usize, store: SocketAddr) -> Process {
    let name = format!("entry-{i}");
    let any = "127.0.0.1:0";
    let settings = json!({ "process": process(&name, store), "zone": "mid-a", "callers": any,
        "readiness": any, "links": any });
    start_pinned(dir, "direct-entry", &name, settings, &["callers", "links", "readiness"])
}

fn start_agent(dir: &Path, i: usize, store: SocketAddr, upstream: SocketAddr) -> Process {
    let name = format!("agent-{i}");
    let settings = json!({ "process": process(&name, store), "control": "127.0.0.1:0",
        "upstream": upstream.to_string() });
    start_pinned(dir, "direct-agent", &name, settings, &["control"])
}
