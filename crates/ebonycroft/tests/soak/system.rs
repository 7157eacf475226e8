//! Entries and agents as child processes, with fakes of the executors and the store.

use std::{
    env, fs, mem,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use emulator::{
    FakeExecutorClock, FakeExecutorFaults, FakeExecutorSettings, LogServer, LogSettings, Relay,
    RunLedger, StoppingRuns,
};
use serde_json::json;
use tokio::{sync::Notify, time::sleep};

use crate::{
    caller::{self, QUEUES, Queue},
    env_number,
    executors::Executor,
    faults::lock,
    process::Process,
    site::Site,
};

/// Loopback address with port 0, so that a listener gets a free port.
const ANY_PORT: &str = "127.0.0.1:0";
/// One process in so many is an entry.
const PROCESSES_PER_ENTRY: usize = 6;
/// Name of the service of all executors.
pub(crate) const SERVICE: &str = "kitchen";
/// Processor capacity of an executor and of a task, thousandths of a core.
const MILLI_CORES: u32 = 32_000;
pub(crate) const TASK_MILLI_CORES: u32 = 3_100;
/// Tasks that an executor can run at the same time.
pub(crate) const SLOTS: usize = (MILLI_CORES / TASK_MILLI_CORES) as usize;
/// Run time of a task that names none, milliseconds.
const TASK_MS: u64 = 120;
/// By how much an executor's clock may be slow on the platform, percent.
const SLOW_PERCENT: u64 = 2;
/// Time that executors take to end a stopped run, unless `SOAK_STOP_MS` states it: the platform's
/// `stopTimeoutMs`.
const STOP_MS: u64 = 50;
/// Time limit for the system to serve jobs again; it only ends a test that hangs.
const SERVING_TIMEOUT: Duration = Duration::from_secs(60);

/// Running entries, agents, executors and the store.
pub(crate) struct System {
    pub(crate) store: LogServer,
    pub(crate) ledger: RunLedger,
    pub(crate) executors: Vec<Executor>,
    pub(crate) entries: Vec<Mutex<Process>>,
    pub(crate) agents: Vec<Mutex<Process>>,
    /// Relays between agents and each entry.
    pub(crate) link_relays: Vec<Arc<Relay>>,
    /// Relays between callers and each entry.
    pub(crate) caller_relays: Vec<Arc<Relay>>,
    /// Relays between each agent and its executor.
    pub(crate) executor_relays: Vec<Mutex<Arc<Relay>>>,
    /// Relay between all processes and the store.
    pub(crate) store_relay: Arc<Relay>,
    /// Addresses of the entries for callers, those of their relays, with the zones.
    pub(crate) callers: Arc<[(&'static str, SocketAddr)]>,
    /// Notified when a caller gives up a job that goes on, if agents are then restarted.
    pub(crate) gave_up: Arc<Notify>,
    /// Held while a host is replaced.
    pub(crate) replacing: Vec<tokio::sync::Mutex<()>>,
    /// Agents and executors of hosts that have been replaced.
    pub(crate) gone: Mutex<Vec<Process>>,
    /// Number of the next host that comes.
    next_host: AtomicUsize,
    dir: PathBuf,
}

/// An agent with its executor.
struct Host {
    executor: Executor,
    agent: Process,
    executor_relay: Arc<Relay>,
}

impl System {
    /// Starts this number of processes, about a sixth of them entries.
    pub(crate) async fn start(processes: usize) -> Self {
        let entry_count = (processes / PROCESSES_PER_ENTRY).max(Site::selected().min_entries);
        let dir = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder can be made");
        let any_port = ANY_PORT.parse().expect("it is an address");
        let store =
            LogServer::start(LogSettings::default(), any_port).await.expect("a store starts");
        store.put_config(&config(1));
        let ledger = RunLedger::default();
        let store_relay = start_relay(Some(store.addr())).await;
        let (mut executors, mut agents) = (Vec::new(), Vec::new());
        let (mut entries, mut link_relays, mut caller_relays) =
            (Vec::new(), Vec::new(), Vec::new());
        let mut executor_relays = Vec::new();
        for i in 0..entry_count {
            let (links, callers) = (start_relay(None).await, start_relay(None).await);
            entries.push(start_entry(&dir, i, store_relay.addr(), &links, &callers));
            caller_relays.push(callers);
            link_relays.push(links);
        }
        for i in 0..processes - entry_count {
            let host = start_host(&dir, i, i, store_relay.addr(), &ledger).await;
            agents.push(host.agent);
            executor_relays.push(Mutex::new(host.executor_relay));
            executors.push(host.executor);
        }
        let host_count = agents.len();
        let callers = caller_relays.iter().enumerate();
        let callers = callers.map(|(i, relay)| (zone(i), relay.addr())).collect();
        let system = Self {
            store,
            ledger,
            executors,
            entries: entries.into_iter().map(Mutex::new).collect(),
            agents: agents.into_iter().map(Mutex::new).collect(),
            link_relays,
            caller_relays,
            executor_relays,
            store_relay,
            callers,
            gave_up: Arc::default(),
            replacing: (0..host_count).map(|_| tokio::sync::Mutex::default()).collect(),
            gone: Mutex::default(),
            next_host: AtomicUsize::new(host_count),
            dir,
        };
        system.until_serving().await;
        system
    }

    /// Starts a host with another name, other addresses and another executor in the place of one that
    /// has ended. Executors are processes.
    pub(crate) async fn replace_host(&self, slot: usize) {
        let n = self.next_host.fetch_add(1, Ordering::Relaxed);
        let host = start_host(&self.dir, slot, n, self.store_relay.addr(), &self.ledger).await;
        *lock(&self.executor_relays[slot]) = host.executor_relay;
        let new = [
            (Some(&self.agents[slot]), Some(host.agent)),
            (self.executors[slot].process(), host.executor.into_process()),
        ];
        for (slot, process) in new {
            let (slot, process) = slot.zip(process).expect("executors are processes");
            let old = mem::replace(&mut *lock(slot), process);
            lock(&self.gone).push(old);
        }
    }

    /// Replaces the faults of an executor, except for the way in which it stops runs.
    pub(crate) fn set_faults(&self, executor: usize, faults: FakeExecutorFaults) {
        self.executors[executor].set_faults(with_stops(executor, faults));
    }

    /// Replaces the faults of all executors in the same way.
    pub(crate) fn set_all_faults(&self, faults: FakeExecutorFaults) {
        (0..self.executors.len()).for_each(|i| self.set_faults(i, faults));
    }

    /// Waits until every entry has served a job.
    pub(crate) async fn until_serving(&self) {
        let start = std::time::Instant::now();
        for (i, relay) in self.caller_relays.iter().enumerate() {
            let addr = relay.addr();
            let mut n = 0_u64;
            loop {
                n += 1;
                let id = format!("{:016x}", 0xffff_0000_0000_0000_u64 + i as u64 * 10_000 + n);
                if caller::submit_once(addr, &id).await {
                    break;
                }
                assert!(start.elapsed() < SERVING_TIMEOUT, "the system does not serve again");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Returns the executors that are processes of their own.
    pub(crate) fn executor_processes(&self) -> impl Iterator<Item = &Mutex<Process>> {
        self.executors.iter().filter_map(Executor::process)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        // The folder holds only settings, so a failure to remove it does no harm.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the configuration of the service under a version.
pub(crate) fn config(version: u64) -> serde_json::Value {
    let route = |(queue, max_attempts): (&Queue, u16)| {
        json!({ "name": queue.name, "host": "jobs.example", "pathPrefix": format!("/{}/", queue.name),
            "service": SERVICE, "priority": queue.priority, "maxAttempts": max_attempts,
            "timeoutMs": 1_500, "stretchFactor": 1.6, "targetCompletionMs": 60 })
    };
    let routes: Vec<_> = QUEUES.iter().zip(Site::selected().max_attempts).map(route).collect();
    json!({ "version": version, "services": [{ "name": SERVICE }], "routes": routes })
}

/// Returns the clock of an executor: every second one is slow, and their lags are spread.
fn clock(i: u64) -> FakeExecutorClock {
    let slow_percent = env_number("SOAK_SLOW_PERCENT", SLOW_PERCENT) * (i % 2);
    let lapse_lag_ms = env_number("SOAK_LAPSE_LAG_MS", 0) * (i % 5) / 4;
    FakeExecutorClock { slow_percent, lapse_lag_ms, ..Default::default() }
}

/// Returns the faults with the time in which an executor ends stopped runs, and with what it lists of
/// them. The lags are spread, and of two executors with equal clocks one leaves such runs out.
fn with_stops(i: usize, faults: FakeExecutorFaults) -> FakeExecutorFaults {
    let lag_ms = env_number("SOAK_STOP_LAG_MS", 0) * (i as u64 % 5) / 4;
    let stop_ms = env_number("SOAK_STOP_MS", STOP_MS) + lag_ms;
    let stopping_runs = match env::var("SOAK_STOPPING").as_deref() {
        Ok("running") => StoppingRuns::Running,
        Ok("unlisted") => StoppingRuns::Unlisted,
        Ok(other) => panic!("SOAK_STOPPING is running or unlisted, not {other}"),
        Err(_) if (i / 2).is_multiple_of(2) => StoppingRuns::Unlisted,
        Err(_) => StoppingRuns::Running,
    };
    FakeExecutorFaults { stop_ms, stopping_runs, ..faults }
}

/// Returns the zone of an entry or of an executor.
fn zone(i: usize) -> &'static str {
    Site::selected().zone(i)
}

/// Starts a role with settings that are written to the folder.
pub(crate) fn start(
    dir: &Path,
    role: &'static str,
    name: &str,
    settings: &serde_json::Value,
    relays: Vec<(&'static str, Arc<Relay>)>,
    ledger: Option<RunLedger>,
) -> Process {
    let path = dir.join(format!("{name}.yaml"));
    fs::write(&path, settings.to_string()).expect("settings can be written");
    Process::start(role, &path, relays, ledger)
}

fn process(name: &str, store: SocketAddr) -> serde_json::Value {
    json!({ "name": name, "store": { "address": store.to_string() }, "grace_ms": 6_000 })
}

async fn start_relay(target: Option<SocketAddr>) -> Arc<Relay> {
    let relay = Relay::start().await.expect("a relay starts");
    if let Some(addr) = target {
        relay.set_target(addr);
    }
    Arc::new(relay)
}

fn start_entry(
    dir: &Path,
    i: usize,
    store: SocketAddr,
    links: &Arc<Relay>,
    callers: &Arc<Relay>,
) -> Process {
    let name = format!("entry-{i}");
    let mut settings = json!({ "process": process(&name, store), "zone": zone(i),
        "callers": ANY_PORT, "readiness": ANY_PORT, "links": ANY_PORT });
    if env_number("SOAK_LINK_RELAYS", 1) > 0 {
        settings["advertised_links"] = links.addr().to_string().into();
    }
    let relays = vec![("links", Arc::clone(links)), ("callers", Arc::clone(callers))];
    start(dir, "direct-entry", &name, &settings, relays, None)
}

/// Starts the host with a number, whose clock and stops are those of its slot.
async fn start_host(
    dir: &Path,
    slot: usize,
    n: usize,
    store: SocketAddr,
    ledger: &RunLedger,
) -> Host {
    let settings = FakeExecutorSettings {
        id: format!("executor-{n}"),
        renews_id: !slot.is_multiple_of(2),
        pool: SERVICE.into(),
        zone: zone(n).into(),
        milli_cores: MILLI_CORES,
        run_ms: TASK_MS,
    };
    let (executor_relay, control) = (start_relay(None).await, start_relay(None).await);
    let clock = clock(slot as u64);
    let executor = Executor::start(dir, settings, clock, &executor_relay, &control, ledger).await;
    executor.set_faults(with_stops(slot, FakeExecutorFaults::default()));
    let agent = start_agent(dir, n, store, executor_relay.addr(), control);
    Host { executor, agent, executor_relay }
}

fn start_agent(
    dir: &Path,
    i: usize,
    store: SocketAddr,
    upstream: SocketAddr,
    control: Arc<Relay>,
) -> Process {
    let name = format!("agent-{i}");
    let settings = json!({ "process": process(&name, store), "control": ANY_PORT,
        "upstream": upstream.to_string() });
    start(dir, "direct-agent", &name, &settings, vec![("control", control)], None)
}
