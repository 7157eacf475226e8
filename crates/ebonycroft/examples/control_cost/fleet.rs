//! Entries and agents under measurement. The threads of each role have a name of their own, by
//! which their processor time is counted.

use std::{
    error::Error,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use agent::{Agent, AgentParts, AgentSettings};
use emulator::{LogServer, LogSettings};
use entry::{CallerSettings, Entry, EntryParts, EntrySettings};
use futures::future::BoxFuture;
use platform::StoreClient;
use ports::{Executor, ExecutorError, RunRequest};
use services::{ConfigPatch, PatchId, SharedConfig, Version};
use settings::TokenDigest;
use tokio::runtime::{Builder, Runtime};
use types::{Location, Payload, Resources};

use crate::counting_log::CountingLog;

pub(crate) const ENTRY_THREAD: &str = "entry";
pub(crate) const AGENT_THREAD: &str = "agent";
/// Bearer token of callers and operators.
pub(crate) const TOKEN: &str = "supervisor";
/// Threads of each runtime.
const THREADS: usize = 2;
/// Zones over which the entries and agents are spread.
const ZONES: usize = 5;
/// Slots of each agent.
const SLOTS: u32 = 8;
/// Timeout of a call to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Run time of a task at the fake executor.
const RUN_TIME: Duration = Duration::from_millis(50);

/// Fake of an executor that sleeps for [`RUN_TIME`] and returns a fixed answer.
struct SleepingExecutor;

impl Executor for SleepingExecutor {
    fn run(&self, _: RunRequest) -> BoxFuture<'_, Result<Payload, ExecutorError>> {
        Box::pin(async {
            tokio::time::sleep(RUN_TIME).await;
            Ok(Payload::from_json("{\"contains\":[\"milk\"]}"))
        })
    }
}

/// Running entries and a growing number of agents, with a fake of the log.
pub(crate) struct Fleet {
    /// Runs the fake log and the callers.
    harness_runtime: Runtime,
    entry_runtime: Runtime,
    /// A runtime for the agents of each zone; `None` once the zone has been shut down.
    zone_runtimes: Vec<Option<Runtime>>,
    log: Arc<CountingLog>,
    log_server: LogServer,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
}

impl Fleet {
    pub(crate) fn start(entries: usize) -> Result<Self, Box<dyn Error>> {
        let harness_runtime = runtime("harness")?;
        let log_server =
            harness_runtime.block_on(LogServer::start(LogSettings::default(), loopback()))?;
        let log = Arc::new(CountingLog::new(StoreClient::new(log_server.url(), LOG_TIMEOUT)?));
        let zone_runtimes =
            (0..ZONES).map(|_| runtime(AGENT_THREAD).map(Some)).collect::<Result<_, _>>()?;
        let mut fleet = Self {
            harness_runtime,
            entry_runtime: runtime(ENTRY_THREAD)?,
            zone_runtimes,
            log,
            log_server,
            entries: Vec::new(),
            agents: Vec::new(),
        };
        for i in 0..entries {
            fleet.start_entry(i)?;
        }
        fleet.publish()?;
        for entry in &fleet.entries {
            fleet.entry_runtime.block_on(entry.wait_until_ready());
        }
        Ok(fleet)
    }

    fn start_entry(&mut self, i: usize) -> Result<(), Box<dyn Error>> {
        let settings = EntrySettings {
            name: format!("entry-{i}").parse()?,
            location: location(i)?,
            listen: loopback(),
            peer: loopback(),
            advertise: None,
            admin: entry::AdminSettings {
                listen: loopback(),
                tokens: vec![TokenDigest::of(TOKEN)],
            },
            log: self.log_server.url(),
            entries: self.entries.iter().map(|entry| entry.identity().addr).collect(),
            callers: vec![CallerSettings {
                team: "line-supervisors".parse()?,
                token: TokenDigest::of(TOKEN),
            }],
            limits: Default::default(),
            jobs: Default::default(),
            journal: Default::default(),
            grace_ms: 30_000,
            traces: Default::default(),
        };
        let parts = EntryParts { log: Some(self.log.clone()), ..Default::default() };
        self.entries.push(self.entry_runtime.block_on(Entry::start(settings, parts))?);
        Ok(())
    }

    fn publish(&self) -> Result<(), Box<dyn Error>> {
        let config: SharedConfig =
            serde_saphyr::from_str(include_str!("../../../../config/shared.yaml"))?;
        let patch = ConfigPatch {
            patch_id: PatchId::generate(),
            base: Version(0),
            patch: serde_json::to_string(&config)?,
        };
        self.entry_runtime.block_on(self.entries[0].publisher().submit(patch))?;
        Ok(())
    }

    /// Starts agents until there are `agents` of them and waits until every entry reaches them all.
    pub(crate) fn grow_to(&mut self, agents: usize) -> Result<(), Box<dyn Error>> {
        for i in self.agents.len()..agents {
            let settings = self.agent_settings(i)?;
            let parts =
                AgentParts { executor: Some(Arc::new(SleepingExecutor)), ..Default::default() };
            let Some(zone) = &self.zone_runtimes[i % ZONES] else { continue };
            self.agents.push(zone.block_on(Agent::start(settings, parts))?);
        }
        for entry in &self.entries {
            self.entry_runtime.block_on(entry.wait_for_upstreams(agents));
        }
        Ok(())
    }

    fn agent_settings(&self, i: usize) -> Result<AgentSettings, Box<dyn Error>> {
        Ok(AgentSettings {
            name: format!("recipe-{i}").parse()?,
            pool: "recipe-executors".parse()?,
            location: location(i)?,
            listen: loopback(),
            advertise: None,
            admin: agent::AdminSettings {
                listen: loopback(),
                tokens: vec![TokenDigest::of(TOKEN)],
            },
            entries: self.entries.iter().map(|entry| entry.identity().addr).collect(),
            log: self.log_server.url(),
            executor: Some(agent::ExecutorSettings {
                url: "http://127.0.0.1:9".to_owned(),
                slots: SLOTS,
                connections: 64,
            }),
            worker: None,
            capacity: Resources { milli_cores: 32_000, memory_mb: 65_536, accelerators: 0 },
            memory: Default::default(),
            traces: Default::default(),
        })
    }

    /// Shuts down every agent of the first zone at once, without a drain.
    pub(crate) fn shut_down_zone(&mut self) {
        if let Some(zone) = self.zone_runtimes[0].take() {
            zone.shutdown_background();
        }
    }

    pub(crate) fn log(&self) -> &CountingLog {
        &self.log
    }

    pub(crate) fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns the runtime of the callers, which is not measured.
    pub(crate) fn caller_runtime(&self) -> &Runtime {
        &self.harness_runtime
    }

    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::addr).collect()
    }
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(THREADS).thread_name(name).enable_all().build()
}

fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

fn location(i: usize) -> Result<Location, Box<dyn Error>> {
    let zone = format!("zone-{}", i % ZONES);
    Ok(Location {
        region: "midlands".parse()?,
        zone: zone.parse()?,
        rack: format!("{zone}-r{}", i / ZONES / 3).parse()?,
    })
}
