//! A small fleet: every process has a thread and a runtime of its own, so that it can be killed.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use emulator::{FakeExecutor, FakeExecutorSettings, LogServer, LogSettings, RunLedger};
use node::{
    DirectAgent, DirectAgentSettings, DirectEntry, DirectEntrySettings, ProcessSettings,
    StoreSettings,
};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{runtime::Builder, sync::oneshot, task::LocalSet, time::sleep};
use types::StepError;

/// Ends a test that hangs.
const HANG: Duration = Duration::from_secs(60);
pub const HOST: &str = "jobs.example";
pub const POOL: &str = "kitchen";
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

pub struct Fleet {
    pub store: LogServer,
    pub ledger: RunLedger,
    pub entries: Vec<Process>,
    pub agents: Vec<Agent>,
    pub client: Client,
}

/// A process of the system, as far as a test needs it.
pub struct Process {
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    pub addr: SocketAddr,
    pub links: SocketAddr,
    pub readiness: SocketAddr,
}

pub struct Agent {
    pub executor: FakeExecutor,
    pub process: Process,
    _heartbeats: tokio::task::JoinHandle<()>,
}

pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime can be built").block_on(test);
}

pub fn config(version: u64, prefixes: &[&str]) -> Value {
    let route = |prefix: &&str| {
        json!({ "name": format!("r{prefix}"), "host": HOST, "pathPrefix": prefix, "service": POOL,
                "priority": 1, "maxAttempts": 3, "stretchFactor": 4.0, "targetCompletionMs": 4_000 })
    };
    let limits = json!({ "maxBodyBytes": 10_000 });
    json!({ "version": version, "routes": prefixes.iter().map(route).collect::<Vec<_>>(),
            "services": [{ "name": POOL }], "limits": limits })
}

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
            fleet.until_ready(entry.readiness).await;
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
        };
        let executor = FakeExecutor::start(settings, self.ledger.clone()).await;
        let executor = executor.expect("an executor starts");
        let process =
            start_agent(&format!("agent-{i}"), self.store.addr(), executor.addr(), ANY).await;
        let heartbeats = executor.announce(process.addr);
        self.agents.push(Agent { executor, process, _heartbeats: heartbeats });
    }

    /// Starts the agent of an executor again, at the address that its heartbeats go to.
    pub async fn restart_agent(&mut self, i: usize) {
        let agent = &mut self.agents[i];
        let addr = agent.process.addr;
        agent.process.kill();
        let name = format!("agent-{i}");
        agent.process = start_agent(&name, self.store.addr(), agent.executor.addr(), addr).await;
    }

    pub async fn until_ready(&self, readiness: SocketAddr) {
        until("the entry is ready", || async {
            let url = format!("http://{readiness}/-/readyz");
            let answer = self.client.get(url).send().await;
            answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await;
    }

    /// Submits a job at an entry; returns nothing when the connection breaks.
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

pub async fn send(
    client: &Client,
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Option<(StatusCode, Value)> {
    let method = method.parse().expect("the method is one");
    let call = client.request(method, format!("http://{addr}{path}")).header("Host", HOST);
    let answer = call.header("Deadline-Ms", "20000").body(body).send().await.ok()?;
    let status = answer.status();
    Some((status, answer.json().await.unwrap_or(Value::Null)))
}

/// Waits for a condition.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < HANG, "waited in vain until {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Starts an empty store.
pub async fn start_store() -> LogServer {
    LogServer::start(LogSettings::default(), ANY).await.expect("a store starts")
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
        process: process(name, store, seeds),
        zone: "mid-a".into(),
        callers: ANY,
        readiness: ANY,
        links: ANY,
    };
    start_process(move |ready, stop| async move {
        let entry = DirectEntry::bind(settings).await?;
        let bound = entry.settings();
        // A test that has ended does not wait for the addresses.
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
        // A test that has ended does not wait for the addresses.
        let _ = ready.send([control; 3]);
        agent.run(stop, None).await
    })
    .await
}

type Stop = std::pin::Pin<Box<dyn Future<Output = Result<(), StepError>> + Send>>;

async fn start_process<M, F>(make: M) -> Process
where
    M: FnOnce(oneshot::Sender<[SocketAddr; 3]>, Stop) -> F + Send + 'static,
    F: Future<Output = Result<(), StepError>>,
{
    let (stop_tx, stop_rx) = oneshot::channel();
    let (kill_tx, kill_rx) = oneshot::channel::<()>();
    let (ready_tx, ready_rx) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let stop: Stop = Box::pin(async move {
            // A test that drops the process ends it by the other channel.
            if stop_rx.await.is_err() {
                std::future::pending::<()>().await;
            }
            Ok(())
        });
        let process = make(ready_tx, stop);
        runtime.expect("a runtime can be built").block_on(LocalSet::new().run_until(async {
            tokio::select! {
                result = process => result.expect("the process ends well"),
                _ = kill_rx => {}
            }
        }));
    });
    let [addr, links, readiness] = ready_rx.await.expect("the process binds its addresses");
    let (stop, kill) = (Some(stop_tx), Some(kill_tx));
    Process { stop, kill, thread: Some(thread), addr, links, readiness }
}

impl Process {
    /// Asks the process to stop, as a signal does.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The process may have ended.
            let _ = stop.send(());
        }
    }

    /// Waits for the end of a process that was asked to stop.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the process ends well");
        }
    }

    /// Ends the process at once; its connections break.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            // The process may have ended.
            let _ = kill.send(());
        }
        self.join();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(kill) = self.kill.take() {
            // The process may have ended.
            let _ = kill.send(());
        }
    }
}

/// Shares a fleet with tasks of a test.
pub fn shared(fleet: Fleet) -> Arc<Fleet> {
    Arc::new(fleet)
}
