//! The whole system in one process on loopback, for `ebonycroft try` and `ebonycroft load --local`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use agent::{Agent, AgentParts, AgentSettings};
use emulator::{ExecutorServer, ExecutorSettings, LogServer, LogSettings};
use entry::{CallerSettings, Entry, EntryParts, EntrySettings};
use journal::Submission;
use metrics_exporter_prometheus::PrometheusHandle;
use services::{ConfigPatch, PatchId, PatchOutcome, SharedConfig, Version};
use settings::TokenDigest;
use telemetry::{TraceSettings, Traces};
use types::{Location, Peer, StepError};

use crate::commands::roles::install_metrics;

/// Number of upstreams of each user.
pub(crate) const UPSTREAMS: usize = 11;
/// Number of slots of each upstream.
pub(crate) const SLOTS: u32 = 8;
/// Most connections of an agent to its executor.
const CONNECTIONS: u32 = 64;

/// One of the two users whose services `try` starts with.
struct User {
    pool: &'static str,
    prefix: &'static str,
    region: &'static str,
    zones: &'static [&'static str],
    worker: types::Resources,
}

const USERS: [User; 2] = [
    User {
        pool: "recipe-executors",
        prefix: "recipe",
        region: "midlands",
        zones: &["mid-a", "mid-b", "mid-c"],
        worker: types::Resources { milli_cores: 32_000, memory_mb: 65_536, accelerators: 0 },
    },
    User {
        pool: "notebook-executors",
        prefix: "notebook",
        region: "flanders",
        zones: &["vl-gent", "vl-antwerpen", "vl-leuven", "vl-brugge"],
        worker: types::Resources { milli_cores: 64_000, memory_mb: 131_072, accelerators: 0 },
    },
];

/// Each team with its bearer token.
const TOKENS: [(&str, &str); 4] = [
    ("line-supervisors", "supervisor"),
    ("recipe-office", "office"),
    ("game-masters", "master"),
    ("players", "player"),
];

/// Settings of a local system.
pub(crate) struct LocalSettings {
    /// Address of the first entry's listener for callers.
    pub(crate) listen: SocketAddr,
    /// Address of the first entry's listener for operators.
    pub(crate) admin: SocketAddr,
    /// Number of entries; at least one is started.
    pub(crate) entries: usize,
    /// Ratio of the fastest to the slowest speed of the executors; their mean speed is 1.
    pub(crate) spread: f64,
    /// Port of the first executor, with the others on the ports after it; free ports when absent.
    pub(crate) base_port: Option<u16>,
    /// Fraction of the requests that are traced, from 0 to 1.
    pub(crate) sample_ratio: f64,
    /// Shared configuration that is published at the start.
    pub(crate) config: SharedConfig,
}

/// A running local system.
pub(crate) struct LocalSystem {
    log: LogServer,
    executors: Vec<ExecutorServer>,
    agents: Vec<Agent>,
    pub(crate) entries: Vec<Entry>,
}

impl LocalSystem {
    /// Starts all parts and waits until every entry is ready and reaches every upstream.
    pub(crate) async fn start(settings: LocalSettings) -> Result<Self, StepError> {
        let metrics = install_metrics()?;
        let sample_ratio = settings.sample_ratio;
        let traces = Traces::install(&TraceSettings { sample_ratio, ..Default::default() })?;
        let log = LogServer::start(LogSettings::default(), loopback()).await?;
        let mut system =
            Self { log, executors: Vec::new(), agents: Vec::new(), entries: Vec::new() };
        for i in 0..settings.entries.max(1) {
            system.start_entry(i, &settings, metrics.clone(), traces.clone()).await?;
        }
        publish(&system.entries[0], &settings.config).await?;
        for user in &USERS {
            for i in 0..UPSTREAMS {
                system.start_upstream(user, i, &settings).await?;
            }
        }
        for entry in &system.entries {
            entry.wait_for_upstreams(system.agents.len()).await;
            entry.wait_until_ready().await;
        }
        Ok(system)
    }

    async fn start_entry(
        &mut self,
        i: usize,
        settings: &LocalSettings,
        metrics: PrometheusHandle,
        traces: Traces,
    ) -> Result<(), StepError> {
        let mut entry = entry_settings(i, &self.log.url())?;
        if i == 0 {
            entry.listen = settings.listen;
            entry.admin.listen = settings.admin;
        }
        entry.entries = self.entries.iter().map(|peer| peer.identity().addr).collect();
        let parts = EntryParts { metrics: Some(metrics), traces: Some(traces), log: None };
        self.entries.push(Entry::start(entry, parts).await?);
        Ok(())
    }

    async fn start_upstream(
        &mut self,
        user: &User,
        i: usize,
        settings: &LocalSettings,
    ) -> Result<(), StepError> {
        let mut addr = loopback();
        if let Some(base_port) = settings.base_port {
            addr.set_port(base_port + self.executors.len() as u16);
        }
        let behaviour = ExecutorSettings { speed: speed(i, settings.spread), ..Default::default() };
        let executor = ExecutorServer::start(behaviour, addr).await?;
        let entries = self.entries.iter().map(|entry| entry.identity().addr).collect();
        let agent = agent_settings(user, i, entries, &executor, &self.log.url())?;
        self.agents.push(Agent::start(agent, AgentParts::default()).await?);
        self.executors.push(executor);
        Ok(())
    }

    /// Returns the base URLs of the executors.
    pub(crate) fn executor_urls(&self) -> Vec<String> {
        self.executors.iter().map(ExecutorServer::url).collect()
    }

    pub(crate) fn print_addresses(&self) {
        for entry in &self.entries {
            println!("callers    http://{}", entry.addr());
            println!("operators  http://{}  (token: operator)", entry.admin_addr());
        }
        println!("log        http://{}", self.log.addr());
        println!("upstreams  {} agents, {} executors", self.agents.len(), self.executors.len());
        TOKENS.iter().for_each(|(team, token)| println!("team       {team}  (token: {token})"));
    }
}

/// Returns the loopback address with port 0, so that a listener gets a free port.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Parses a name of any kind, such as that of a team or a pool.
pub(crate) fn parse_name<T: std::str::FromStr>(text: &str) -> Result<T, StepError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|e| StepError::new("naming", Peer::Local, e))
}

/// Returns the speed of the executor `i` of [`UPSTREAMS`]. The speeds are a geometric series from
/// the slowest to the fastest, whose ratio is `spread` and whose mean is 1.
pub(crate) fn speed(i: usize, spread: f64) -> f64 {
    let ratio = |i: usize| spread.powf(i as f64 / (UPSTREAMS - 1) as f64);
    let mean = (0..UPSTREAMS).map(ratio).sum::<f64>() / UPSTREAMS as f64;
    ratio(i) / mean
}

async fn publish(entry: &Entry, config: &SharedConfig) -> Result<(), StepError> {
    const STEP: &str = "publishing the configuration";
    let failed = |cause: String| StepError::new(STEP, Peer::Named("the log".to_owned()), cause);
    let patch = ConfigPatch {
        patch_id: PatchId::generate(),
        base: Version(0),
        patch: serde_json::to_string(config).map_err(|e| failed(e.to_string()))?,
    };
    match entry.publisher().submit(patch).await {
        Ok(Submission::Decided(PatchOutcome::Accepted(_))) => Ok(()),
        Ok(other) => Err(failed(format!("{other:?}"))),
        Err(e) => Err(failed(e.to_string())),
    }
}

fn entry_settings(i: usize, log: &str) -> Result<EntrySettings, StepError> {
    let callers = TOKENS.iter().map(|(team, token)| {
        Ok(CallerSettings { team: parse_name(team)?, token: TokenDigest::of(token) })
    });
    Ok(EntrySettings {
        name: parse_name(&format!("entry-{}", i + 1))?,
        location: location(&USERS[0], i * 3)?,
        listen: loopback(),
        peer: loopback(),
        advertise: None,
        admin: entry::AdminSettings {
            listen: loopback(),
            tokens: vec![TokenDigest::of("operator")],
        },
        log: log.to_owned(),
        entries: Vec::new(),
        callers: callers.collect::<Result<_, StepError>>()?,
        limits: Default::default(),
        jobs: Default::default(),
        journal: Default::default(),
        grace_ms: 30_000,
        traces: Default::default(),
    })
}

fn agent_settings(
    user: &User,
    i: usize,
    entries: Vec<SocketAddr>,
    executor: &ExecutorServer,
    log: &str,
) -> Result<AgentSettings, StepError> {
    Ok(AgentSettings {
        name: parse_name(&format!("{}-{:02}", user.prefix, i + 1))?,
        pool: parse_name(user.pool)?,
        location: location(user, i)?,
        listen: loopback(),
        advertise: None,
        admin: agent::AdminSettings {
            listen: loopback(),
            tokens: vec![TokenDigest::of("operator")],
        },
        entries,
        log: log.to_owned(),
        executor: Some(agent::ExecutorSettings {
            url: format!("http://{}", executor.addr()),
            slots: SLOTS,
            connections: CONNECTIONS,
        }),
        worker: None,
        capacity: user.worker,
        memory: Default::default(),
        traces: Default::default(),
    })
}

fn location(user: &User, i: usize) -> Result<Location, StepError> {
    const PER_RACK: usize = 3;
    let zone = user.zones[i / PER_RACK % user.zones.len()];
    Ok(Location {
        region: parse_name(user.region)?,
        zone: parse_name(zone)?,
        rack: parse_name(&format!("{zone}-r{}", i / PER_RACK + 1))?,
    })
}
