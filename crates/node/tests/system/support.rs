//! A fleet of entries and agents within the test process. Each has a thread and a runtime of its
//! own, so that it can be killed.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use emulator::{FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, RunLedger};
use node::{
    DirectAgent, DirectAgentSettings, DirectEntry, DirectEntrySettings, PlacementSettings,
    ProcessSettings, StoreSettings,
};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{runtime::Builder, sync::oneshot, task::LocalSet, time::sleep};
use types::StepError;

/// Time after which a test that waits for a condition fails.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
pub const HOST: &str = "jobs.example";
pub const POOL: &str = "kitchen";
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A store, entries and agents, and a client that acts as the callers.
pub struct Fleet {
    pub store: LogServer,
    pub ledger: RunLedger,
    pub entries: Vec<Process>,
    pub agents: Vec<Agent>,
    pub client: Client,
}

/// An entry or an agent on its own thread. An agent has only a control address, and all three
/// address fields hold it.
pub struct Process {
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    pub addr: SocketAddr,
    pub links: SocketAddr,
    pub readiness: SocketAddr,
}

/// An executor and the agent beside it.
pub struct Agent {
    pub executor: FakeExecutor,
    pub process: Process,
    _heartbeats: tokio::task::JoinHandle<()>,
}

/// Runs a test on a runtime with two threads.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime can be built").block_on(test);
}

/// Returns a configuration with one queue for each path prefix.
pub fn config(version: u64, prefixes: &[&str]) -> Value {
    let route = |prefix: &&str| {
        json!({ "name": format!("r{prefix}"), "host": HOST, "pathPrefix": prefix, "service": POOL,
                "priority": 1, "maxAttempts": 3, "stretchFactor": 4.0, "targetCompletionMs": 4_000 })
    };
    let limits = json!({ "maxBodyBytes": 10_000 });
    json!({ "version": version, "routes": prefixes.iter().map(route).collect::<Vec<_>>(),
            "services": [{ "name": POOL }], "limits": limits })
}

/// Returns the body of a job with one step.
pub fn job(tasks: u32) -> Value {
    json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": tasks, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] })
}

impl Fleet {
    /// Starts entries and agents, and waits until every entry is ready for `/j/`.
    pub async fn start(entries: usize, agents: usize, run_ms: u64) -> Self {
        let store = start_store().await;
        store.put_config(&config(1, &["/j/"]));
        let mut fleet = Self {
            store,
            ledger: RunLedger::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            client: Client::builder().no_proxy().build().expect("a client can be built"),
        };
        for i in 0..entries {
            let entry = start_entry(&format!("entry-{i}"), fleet.store.addr(), None).await;
            fleet.entries.push(entry);
        }
        for i in 0..agents {
            fleet.add_agent(i, run_ms).await;
        }
        for entry in &fleet.entries {
            fleet.wait_until_ready(entry.readiness).await;
        }
        fleet
    }

    async fn add_agent(&mut self, i: usize, run_ms: u64) {
        let settings = FakeExecutorSettings {
            id: format!("executor-{i}"),
            pool: POOL.into(),
            zone: "mid-a".into(),
            milli_cores: 4_000,
            run_ms,
            renews_id: false,
        };
        let executor = FakeExecutor::start(settings, self.ledger.clone()).await;
        let executor = executor.expect("an executor starts");
        let process =
            start_agent(&format!("agent-{i}"), self.store.addr(), executor.addr(), ANY_PORT).await;
        let heartbeats = executor.announce(process.addr);
        self.agents.push(Agent { executor, process, _heartbeats: heartbeats });
    }

    /// Kills the agent of an executor and starts another at the address that receives the
    /// executor's heartbeats.
    pub async fn restart_agent(&mut self, i: usize) {
        let agent = &mut self.agents[i];
        let addr = agent.process.addr;
        agent.process.kill();
        let name = format!("agent-{i}");
        agent.process = start_agent(&name, self.store.addr(), agent.executor.addr(), addr).await;
    }

    pub async fn wait_until_ready(&self, readiness: SocketAddr) {
        wait_until("the entry is ready", || async {
            let url = format!("http://{readiness}/-/readyz");
            let response = self.client.get(url).send().await;
            response.is_ok_and(|response| response.status() == StatusCode::OK)
        })
        .await;
    }

    /// Submits a job at an entry; returns `None` when the connection breaks.
    pub async fn submit(
        &self,
        entry: usize,
        id: &str,
        body: &Value,
    ) -> Option<(StatusCode, Value)> {
        send(&self.client, self.entries[entry].addr, "POST", &format!("/j/{id}"), body.to_string())
            .await
    }
}

/// Sends a request to an entry; returns the status and the body, or `None` when the connection
/// breaks. A body that is not JSON becomes null.
pub async fn send(
    client: &Client,
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Option<(StatusCode, Value)> {
    let method = method.parse().expect("the method is one");
    let request = client.request(method, format!("http://{addr}{path}")).header("Host", HOST);
    let response = request.header("Deadline-Ms", "20000").body(body).send().await.ok()?;
    let status = response.status();
    Some((status, response.json().await.unwrap_or(Value::Null)))
}

/// Waits until a condition holds.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < HANG_TIMEOUT, "timed out waiting until {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Starts an empty store.
pub async fn start_store() -> LogServer {
    LogServer::start(LogSettings::default(), ANY_PORT).await.expect("a store starts")
}

fn process(name: &str, store: SocketAddr, seeds: Option<Vec<SocketAddr>>) -> ProcessSettings {
    ProcessSettings {
        name: name.into(),
        metrics: None,
        store: StoreSettings::at(store),
        seeds,
        seeds_port: None,
        grace_ms: 6_000,
        log_decisions: false,
        timing: direct::Timing::default(),
    }
}

pub async fn start_entry(name: &str, store: SocketAddr, seeds: Option<Vec<SocketAddr>>) -> Process {
    let settings = DirectEntrySettings {
        processor_share: None,
        process: process(name, store, seeds),
        zone: "mid-a".into(),
        callers: ANY_PORT,
        readiness: ANY_PORT,
        links: ANY_PORT,
        advertised_links: None,
        max_job_tasks: 100,
        memory_mb: 120,
        max_descriptors: 4_100,
        placement: PlacementSettings::default(),
    };
    start_process(move |ready, stop| async move {
        let entry = DirectEntry::bind(settings).await?;
        let bound = entry.settings();
        // Fails when the test has ended.
        let _ = ready.send([bound.callers, bound.links, bound.readiness]);
        entry.run(stop, None).await
    })
    .await
}

async fn start_agent(
    name: &str,
    store: SocketAddr,
    upstream: SocketAddr,
    control: SocketAddr,
) -> Process {
    let settings = DirectAgentSettings { process: process(name, store, None), control, upstream };
    start_process(move |ready, stop| async move {
        let agent = DirectAgent::bind(settings).await?;
        let control = agent.settings().control;
        // Fails when the test has ended.
        let _ = ready.send([control; 3]);
        agent.run(stop, None).await
    })
    .await
}

type StopSignal = std::pin::Pin<Box<dyn Future<Output = Result<(), StepError>> + Send>>;

/// Runs a process on a thread of its own until it is stopped or killed.
async fn start_process<M, F>(make: M) -> Process
where
    M: FnOnce(oneshot::Sender<[SocketAddr; 3]>, StopSignal) -> F + Send + 'static,
    F: Future<Output = Result<(), StepError>>,
{
    let (stop_tx, stop_rx) = oneshot::channel();
    let (kill_tx, kill_rx) = oneshot::channel::<()>();
    let (ready_tx, ready_rx) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let stop: StopSignal = Box::pin(async move {
            // When the test drops the process, `kill_rx` ends it.
            if stop_rx.await.is_err() {
                std::future::pending::<()>().await;
            }
            Ok(())
        });
        let process = make(ready_tx, stop);
        runtime.expect("a runtime can be built").block_on(LocalSet::new().run_until(async {
            tokio::select! {
                result = process => result.expect("the process ends without an error"),
                _ = kill_rx => {}
            }
        }));
    });
    let [addr, links, readiness] = ready_rx.await.expect("the process binds its addresses");
    let (stop, kill) = (Some(stop_tx), Some(kill_tx));
    Process { stop, kill, thread: Some(thread), addr, links, readiness }
}

impl Process {
    /// Requests the process to stop, as a signal does.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Fails when the process has ended.
            let _ = stop.send(());
        }
    }

    /// Waits for the end of a process that was requested to stop.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the process ends without an error");
        }
    }

    /// Ends the process at once; its connections break.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            // Fails when the process has ended.
            let _ = kill.send(());
        }
        self.join();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(kill) = self.kill.take() {
            // Fails when the process has ended.
            let _ = kill.send(());
        }
    }
}

/// Wraps a fleet so that several tasks of a test can use it.
pub fn shared(fleet: Fleet) -> Arc<Fleet> {
    Arc::new(fleet)
}
