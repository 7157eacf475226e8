//! A system under test, with every role in a runtime of its own, and its callers and operators.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::Deref,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use agent::{Agent, AgentParts, AgentSettings};
use emulator::{
    ExecutorServer, ExecutorSettings, LogServer, LogSettings, WorkerServer, WorkerSettings,
};
use entry::{CallerSettings, Entry, EntryParts, EntrySettings, JobSettings};
use jobs::JobRecord;
use journal::{Submission, decode_record};
use ports::StreamName;
use reqwest::{Client, Method};
use serde_json::{Value, json};
use services::{ConfigPatch, PatchId, PatchOutcome, SharedConfig, Version};
use settings::TokenDigest;
use tokio::runtime::{Builder, Runtime};
use types::{JobId, Location, Partition, PartitionCount, Resources, StepError};

use crate::relay::Relay;

/// Time limit of a test; it only ends one that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Age of the usage reports of workers, milliseconds.
const USAGE_LAG_MS: u64 = 100;
/// Duration of the leases of tasks on workers, milliseconds.
pub(crate) const LEASE_MS: u64 = 1_600;
/// Threads of the runtime of each process.
const PROCESS_THREADS: usize = 2;
/// Interval at which a condition is checked again.
const POLL: Duration = Duration::from_millis(5);
/// Most time for the drain of an entry, milliseconds; longer than any task of these tests.
const GRACE_MS: u64 = 10_000;
/// Timeout of a call to the log.
pub(crate) const LOG_TIMEOUT: Duration = Duration::from_secs(5);
pub(crate) const PARTITIONS: u16 = 16;
/// Deadline that a submission states, milliseconds.
const DEADLINE_MS: u64 = 40_000;

/// Token of the team `line-supervisors`.
pub(crate) const LINE_TOKEN: &str = "supervisor";
/// Token of the team `recipe-office`.
pub(crate) const OFFICE_TOKEN: &str = "office";
/// Token of operators.
pub(crate) const OPERATOR_TOKEN: &str = "operator";

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Runs a test within [`TEST_TIMEOUT`].
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build().unwrap();
    runtime.block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test hangs");
    });
    runtime.shutdown_background();
}

/// A role with a runtime of its own, so that a kill ends all its tasks at once, as a crash does.
pub(crate) struct Process<T> {
    role: T,
    runtime: Mutex<Option<Runtime>>,
}

impl<T: Send + 'static> Process<T> {
    async fn start<F>(start: F) -> Self
    where
        F: Future<Output = Result<T, StepError>> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(PROCESS_THREADS)
            .enable_all()
            .build()
            .unwrap();
        let role = runtime.spawn(start).await.unwrap().unwrap();
        Self { role, runtime: Mutex::new(Some(runtime)) }
    }

    /// Blocks every thread of the process until the pause is dropped.
    pub(crate) async fn pause(&self) -> Pause {
        let handle = self.runtime.lock().unwrap().as_ref().unwrap().handle().clone();
        let gate = Arc::new(Gate::default());
        for _ in 0..PROCESS_THREADS {
            let gate = Arc::clone(&gate);
            handle.spawn(async move { gate.block() });
        }
        until(async || {
            handle.spawn(async {});
            gate.blocked.load(Ordering::SeqCst) == PROCESS_THREADS
        })
        .await;
        Pause(gate)
    }

    /// Ends all tasks of the process at once, without a drain.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().unwrap().take() {
            runtime.shutdown_background();
        }
    }
}

/// Blocks threads until it is opened.
#[derive(Default)]
struct Gate {
    blocked: AtomicUsize,
    is_open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn block(&self) {
        self.blocked.fetch_add(1, Ordering::SeqCst);
        let is_open = self.is_open.lock().unwrap();
        drop(self.opened.wait_while(is_open, |is_open| !*is_open).unwrap());
    }
}

/// Pause of a process; it ends when this is dropped.
pub(crate) struct Pause(Arc<Gate>);

impl Drop for Pause {
    fn drop(&mut self) {
        *self.0.is_open.lock().unwrap() = true;
        self.0.opened.notify_all();
    }
}

impl<T> Deref for Process<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.role
    }
}

impl<T> Drop for Process<T> {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.get_mut().unwrap().take() {
            runtime.shutdown_background();
        }
    }
}

/// Waits until a condition holds, checking it every [`POLL`].
pub(crate) async fn until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(POLL).await;
    }
}

/// Settings of a [`System`] that is to be started.
pub(crate) struct SystemBuilder {
    entries: usize,
    upstreams: usize,
    slots: u32,
    append_latency_ms: u64,
    jobs: JobSettings,
    relays_agents: bool,
    relays_entries: bool,
    has_workers: bool,
}

impl SystemBuilder {
    pub(crate) fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    pub(crate) fn upstreams(mut self, upstreams: usize) -> Self {
        self.upstreams = upstreams;
        self
    }

    pub(crate) fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    pub(crate) fn append_latency_ms(mut self, ms: u64) -> Self {
        self.append_latency_ms = ms;
        self
    }

    /// Runs tasks on workers under leases instead of on executors.
    pub(crate) fn workers(mut self) -> Self {
        self.has_workers = true;
        self
    }

    /// Puts a relay between the entries and each agent.
    pub(crate) fn relay_agents(mut self) -> Self {
        self.relays_agents = true;
        self
    }

    /// Puts a relay between the other entries and each entry.
    pub(crate) fn relay_entries(mut self) -> Self {
        self.relays_entries = true;
        self
    }

    /// Starts the system and waits until it is ready.
    pub(crate) async fn start(self) -> System {
        let log = LogServer::start(
            LogSettings { append_latency_ms: self.append_latency_ms, ..Default::default() },
            loopback(),
        )
        .await
        .unwrap();
        let mut system = System {
            log,
            executors: Vec::new(),
            workers: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            agent_relays: Vec::new(),
            entry_relays: Vec::new(),
            relays_entries: self.relays_entries,
            client: Client::new(),
            jobs: self.jobs,
            slots: self.slots,
        };
        for i in 0..self.entries {
            system.start_entry(&format!("entry-{i}")).await;
        }
        system.publish(&built_in()).await;
        for i in 0..self.upstreams {
            match self.has_workers {
                true => system.workers.push(worker().await),
                false => system.executors.push(executor(self.slots).await),
            }
            if self.relays_agents {
                system.agent_relays.push(Relay::start().await);
            }
            system.start_agent(i).await;
        }
        system.wait_until_ready().await;
        system
    }
}

async fn executor(slots: u32) -> ExecutorServer {
    let settings = ExecutorSettings { slots, ..Default::default() };
    ExecutorServer::start(settings, loopback()).await.unwrap()
}

async fn worker() -> WorkerServer {
    let settings = WorkerSettings { usage_lag_ms: USAGE_LAG_MS, ..Default::default() };
    WorkerServer::start(settings, loopback()).await.unwrap()
}

/// Returns the shared configuration in `config/shared.yaml`.
pub(crate) fn built_in() -> SharedConfig {
    serde_saphyr::from_str(include_str!("../../../../config/shared.yaml")).unwrap()
}

/// A running system with fakes of the log and of the executors or workers.
pub(crate) struct System {
    pub(crate) log: LogServer,
    pub(crate) executors: Vec<ExecutorServer>,
    /// Workers, which replace the executors when there are any.
    pub(crate) workers: Vec<WorkerServer>,
    pub(crate) agents: Vec<Process<Agent>>,
    pub(crate) entries: Vec<Process<Entry>>,
    /// Relays between entries and each agent.
    pub(crate) agent_relays: Vec<Relay>,
    /// Relays between the other entries and each entry.
    pub(crate) entry_relays: Vec<Relay>,
    relays_entries: bool,
    client: Client,
    jobs: JobSettings,
    slots: u32,
}

/// Reply to a caller or operator; the status is 0 when the request failed.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) etag: Option<String>,
    pub(crate) body: Value,
}

impl Reply {
    pub(crate) fn is_complete(&self) -> bool {
        self.status == 200 && self.body["status"] == "complete"
    }

    /// Returns the last part of the problem type, such as `unknown-job`.
    pub(crate) fn slug(&self) -> &str {
        self.body["type"].as_str().unwrap_or_default().trim_start_matches("/problems/")
    }
}

impl System {
    pub(crate) fn builder() -> SystemBuilder {
        SystemBuilder {
            entries: 1,
            upstreams: 2,
            slots: 4,
            append_latency_ms: 1,
            jobs: JobSettings { partitions: PARTITIONS, ..Default::default() },
            relays_agents: false,
            has_workers: false,
            relays_entries: false,
        }
    }

    pub(crate) async fn start_entry(&mut self, name: &str) {
        let peers = self.entries.iter().map(|entry| entry.identity().addr).collect();
        let relay = match self.relays_entries {
            true => Some(Relay::start().await),
            false => None,
        };
        let settings = EntrySettings {
            name: name.parse().unwrap(),
            location: location(0),
            listen: loopback(),
            peer: loopback(),
            advertise: relay.as_ref().map(Relay::addr),
            admin: entry::AdminSettings {
                listen: loopback(),
                tokens: vec![TokenDigest::of(OPERATOR_TOKEN)],
            },
            log: self.log.url(),
            entries: peers,
            callers: callers(),
            limits: Default::default(),
            jobs: self.jobs.clone(),
            journal: Default::default(),
            grace_ms: GRACE_MS,
            traces: Default::default(),
        };
        let entry = Process::start(Entry::start(settings, EntryParts::default())).await;
        if let Some(relay) = relay {
            relay.set_target(entry.peer_addr());
            self.entry_relays.push(relay);
        }
        self.entries.push(entry);
    }

    /// Starts the agent `i`, in place of its predecessor if there was one.
    pub(crate) async fn start_agent(&mut self, i: usize) {
        let settings = AgentSettings {
            name: format!("recipe-{i}").parse().unwrap(),
            pool: "recipe-executors".parse().unwrap(),
            location: location(i),
            listen: loopback(),
            advertise: self.agent_relays.get(i).map(Relay::addr),
            admin: agent::AdminSettings {
                listen: loopback(),
                tokens: vec![TokenDigest::of(OPERATOR_TOKEN)],
            },
            entries: self.entries.iter().map(|entry| entry.peer_addr()).collect(),
            log: self.log.url(),
            executor: self.executors.get(i).map(|executor| agent::ExecutorSettings {
                url: executor.url(),
                slots: self.slots,
                connections: 64,
            }),
            worker: self.workers.get(i).map(|worker| agent::WorkerSettings {
                url: worker.url(),
                slots: self.slots,
                lease_ms: LEASE_MS,
            }),
            capacity: Resources { milli_cores: 32_000, memory_mb: 65_536, accelerators: 0 },
            memory: Default::default(),
            traces: Default::default(),
        };
        let agent = Process::start(Agent::start(settings, AgentParts::default())).await;
        if let Some(relay) = self.agent_relays.get(i) {
            relay.set_target(agent.addr());
        }
        if i < self.agents.len() {
            self.agents[i] = agent;
        } else {
            self.agents.push(agent);
        }
    }

    /// Waits until every entry is ready and reaches every agent.
    pub(crate) async fn wait_until_ready(&self) {
        for entry in &self.entries {
            entry.wait_until_ready().await;
            entry.wait_for_upstreams(self.agents.len()).await;
        }
    }

    async fn publish(&self, config: &SharedConfig) {
        let patch = ConfigPatch {
            patch_id: PatchId::generate(),
            base: Version(0),
            patch: serde_json::to_string(config).unwrap(),
        };
        let submitted = self.entries[0].publisher().submit(patch).await.unwrap();
        assert_eq!(submitted, Submission::Decided(PatchOutcome::Accepted(Version(1))));
    }

    /// Sends a request to an entry's listener for callers.
    pub(crate) async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        token: &str,
        body: Option<String>,
    ) -> Reply {
        let addr = self.entries[entry].addr();
        self.send(addr, method, path, token, body, None).await
    }

    /// Sends a request to an entry's listener for operators.
    pub(crate) async fn operate(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: Option<String>,
        if_match: Option<u64>,
    ) -> Reply {
        let addr = self.entries[entry].admin_addr();
        self.send(addr, method, path, OPERATOR_TOKEN, body, if_match).await
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        token: &str,
        body: Option<String>,
        if_match: Option<u64>,
    ) -> Reply {
        let mut req =
            self.client.request(method, format!("http://{addr}{path}")).bearer_auth(token);
        if let Some(body) = body {
            req = req.body(body);
        }
        if let Some(version) = if_match {
            req = req.header("if-match", format!("\"{version}\""));
        }
        match req.send().await {
            Ok(resp) => Reply {
                status: resp.status().as_u16(),
                etag: resp
                    .headers()
                    .get("etag")
                    .and_then(|v| v.to_str().ok())
                    .map(|v| v.trim_matches('"').to_owned()),
                body: resp.json().await.unwrap_or_default(),
            },
            Err(e) => Reply { status: 0, etag: None, body: json!(e.to_string()) },
        }
    }

    /// Submits a job to the recipe service and waits for its answer.
    pub(crate) async fn submit(&self, entry: usize, id: JobId, kind: &str, tasks: Value) -> Reply {
        let body = json!({ "id": id, "kind": kind, "deadline_ms": DEADLINE_MS, "tasks": tasks });
        self.call(
            entry,
            Method::POST,
            "/v1/services/recipe/jobs",
            LINE_TOKEN,
            Some(body.to_string()),
        )
        .await
    }

    /// Starts a submission in the background.
    pub(crate) fn submit_later(
        self: &Arc<Self>,
        entry: usize,
        id: JobId,
        kind: &'static str,
        tasks: Value,
    ) -> tokio::task::JoinHandle<Reply> {
        let system = Arc::clone(self);
        tokio::spawn(async move { system.submit(entry, id, kind, tasks).await })
    }

    /// Returns the state of an upstream that an entry reports to operators.
    pub(crate) async fn upstream_state(&self, entry: usize, upstream: usize) -> Option<String> {
        let name = self.agents[upstream].identity().upstream.to_string();
        let view = self.operate(entry, Method::GET, "/v1/upstreams", None, None).await;
        let upstreams = view.body["upstreams"].as_array()?.clone();
        let found = upstreams.into_iter().find(|upstream| upstream["name"] == name)?;
        found["state"].as_str().map(str::to_owned)
    }

    /// Returns how often each task of each job was started at all executors and workers.
    pub(crate) fn starts(&self) -> HashMap<(JobId, u32), u32> {
        let mut starts = HashMap::new();
        let executors = self.executors.iter().flat_map(ExecutorServer::starts);
        let workers = self.workers.iter().flat_map(WorkerServer::starts);
        for count in executors.chain(workers) {
            *starts.entry((count.job, count.index.0)).or_default() += count.starts;
        }
        starts
    }

    /// Returns how often tasks of a job were started.
    pub(crate) fn starts_of(&self, id: JobId) -> u32 {
        self.starts().iter().filter(|((job, _), _)| *job == id).map(|(_, count)| count).sum()
    }

    /// Waits until a number of tasks of a job have started.
    pub(crate) async fn until_started(&self, id: JobId, tasks: u32) {
        until(async || self.starts_of(id) >= tasks).await;
    }

    /// Waits until an entry's record of a job is durable.
    pub(crate) async fn until_recorded(&self, entry: usize, id: JobId) {
        let identity = self.entries[entry].identity();
        let stream = StreamName::jobs(&identity.name, identity.incarnation);
        until(async || {
            self.log.records(&stream).iter().any(|record| {
                let bodies = decode_record::<JobRecord>(&stream, record).unwrap().bodies;
                bodies.iter().any(
                    |body| matches!(body, JobRecord::Accepted(accepted) if accepted.terms.id == id),
                )
            })
        })
        .await;
    }

    /// Asserts that no task of any job was started more than once.
    pub(crate) fn assert_no_task_started_twice(&self) {
        let repeated: Vec<_> = self.starts().into_iter().filter(|(_, count)| *count > 1).collect();
        let starts: Vec<_> = self
            .executors
            .iter()
            .enumerate()
            .flat_map(|(i, executor)| executor.starts().into_iter().map(move |start| (i, start)))
            .filter(|(_, start)| repeated.iter().any(|((job, _), _)| *job == start.job))
            .collect();
        assert!(repeated.is_empty(), "started more than once: {starts:#?}");
    }
}

/// Returns a job id in a partition that the entry owns by its own view.
pub(crate) async fn id_owned_by(system: &System, entry: usize) -> JobId {
    let name = system.entries[entry].identity().name.clone();
    loop {
        let id = JobId::generate();
        let partition = Partition::of(id, PartitionCount(PARTITIONS));
        let owner = system.entries[entry].owner_of(partition);
        if owner.is_some_and(|owner| owner.name == name) {
            return id;
        }
    }
}

/// Submits a job to the recipe service at an address.
pub(crate) async fn submit_to(addr: SocketAddr, id: JobId, kind: &str, tasks: Value) -> Reply {
    let body = json!({ "id": id, "kind": kind, "tasks": tasks });
    let url = format!("http://{addr}/v1/services/recipe/jobs");
    let resp = Client::new().post(url).bearer_auth(LINE_TOKEN).body(body.to_string()).send().await;
    match resp {
        Ok(resp) => Reply {
            status: resp.status().as_u16(),
            etag: None,
            body: resp.json().await.unwrap_or_default(),
        },
        Err(e) => Reply { status: 0, etag: None, body: json!(e.to_string()) },
    }
}

/// Returns tasks of the idempotent kind `allergens`.
pub(crate) fn tasks(count: usize, run_ms: u64) -> Value {
    (0..count)
        .map(|i| json!({ "batch": format!("B-{i}"), "ingredients": ["milk"], "run_ms": run_ms }))
        .collect()
}

/// Returns tasks of the idempotent kind `scale`.
pub(crate) fn scalings(count: usize, run_ms: u64) -> Value {
    let recipe = json!({ "serves": 4, "ingredients": [{ "name": "rice", "grams": 300 }] });
    (0..count).map(|_| json!({ "recipe": recipe, "serves": 400, "run_ms": run_ms })).collect()
}

/// Returns tasks of the non-idempotent kind `book`.
pub(crate) fn bookings(count: usize, run_ms: u64) -> Value {
    (0..count)
        .map(|i| json!({ "item": format!("item-{i}"), "grams": 5, "run_ms": run_ms }))
        .collect()
}

fn callers() -> Vec<CallerSettings> {
    [("line-supervisors", LINE_TOKEN), ("recipe-office", OFFICE_TOKEN)]
        .into_iter()
        .map(|(team, token)| CallerSettings {
            team: team.parse().unwrap(),
            token: TokenDigest::of(token),
        })
        .collect()
}

fn location(i: usize) -> Location {
    const ZONES: [&str; 3] = ["mid-a", "mid-b", "mid-c"];
    let zone = ZONES[i % ZONES.len()];
    Location {
        region: "midlands".parse().unwrap(),
        zone: zone.parse().unwrap(),
        rack: format!("{zone}-r1").parse().unwrap(),
    }
}
