//! `ebonycroft emulator`: fakes of the log, of executors and of workers.

use std::{future::pending, io, net::SocketAddr, sync::Arc, thread, time::Duration};

use emulator::{
    ExecutorServer, ExecutorSettings, FakeExecutor, FakeExecutorClock, FakeExecutorSettings,
    LogServer, LogSettings, RunLedger, WorkerServer, WorkerSettings,
};
use getopts::Options;
use serde_json::json;
use settings::{InvalidFields, Validate};
use tokio::{sync::oneshot, time::sleep};
use types::StepError;

use crate::{
    cli_error::CliError, command::Command, commands::options, shutdown::serve_until_stopped,
};

types::settings! {
    /// Settings of `ebonycroft emulator`.
    pub(crate) struct EmulatorSettings {
        /// The fake of the log, if any.
        pub(crate) log: Option<LogServerSettings>,
        /// The fakes of executors.
        #[serde(default)]
        pub(crate) executors: Vec<ExecutorServerSettings>,
        /// The fakes of workers.
        #[serde(default)]
        pub(crate) workers: Vec<WorkerServerSettings>,
        /// The fake of an executor of the platform, if any; it runs without the others.
        pub(crate) platform_executor: Option<PlatformExecutorSettings>,
    }

    /// Settings of the fake of an executor of the platform.
    pub(crate) struct PlatformExecutorSettings {
        /// Address of the agent for heartbeats.
        pub(crate) control: SocketAddr,
        /// Behaviour of the fake.
        pub(crate) behaviour: FakeExecutorSettings,
        /// How it measures time.
        #[serde(default)]
        pub(crate) clock: FakeExecutorClock,
        /// How long it serves on after SIGTERM, milliseconds.
        #[serde(default)]
        pub(crate) drain_ms: u64,
    }

    /// Settings of the fake of the log.
    pub(crate) struct LogServerSettings {
        /// Address to listen on.
        pub(crate) listen: SocketAddr,
        /// Behaviour of the fake, such as its latency or capacity.
        #[serde(default)]
        pub(crate) behaviour: LogSettings,
    }

    /// Settings of the fake of one executor.
    pub(crate) struct ExecutorServerSettings {
        /// Address to listen on.
        pub(crate) listen: SocketAddr,
        /// Behaviour of the fake, such as its latency or capacity.
        #[serde(default)]
        pub(crate) behaviour: ExecutorSettings,
    }

    /// Settings of the fake of one worker.
    pub(crate) struct WorkerServerSettings {
        /// Address to listen on.
        pub(crate) listen: SocketAddr,
        /// Behaviour of the fake, such as its latency or capacity.
        #[serde(default)]
        pub(crate) behaviour: WorkerSettings,
    }
}

impl Validate for EmulatorSettings {
    fn validate(&self, errors: &mut InvalidFields) {
        let has_any = self.log.is_some()
            || !self.executors.is_empty()
            || !self.workers.is_empty()
            || self.platform_executor.is_some();
        let no_server = "must name an executor where no log and no worker is named";
        errors.require(has_any, "executors", no_server);
        self.workers.iter().enumerate().for_each(|(i, worker)| {
            let path = format!("workers[{i}].behaviour.speed");
            errors.require(worker.behaviour.speed > 0.0, &path, "must be positive");
        });
        self.executors.iter().enumerate().for_each(|(i, executor)| {
            let path = format!("executors[{i}].behaviour");
            let behaviour = &executor.behaviour;
            errors.require(behaviour.slots > 0, &format!("{path}.slots"), "must be positive");
            errors.require(behaviour.speed > 0.0, &format!("{path}.speed"), "must be positive");
        });
    }
}

/// Running fakes.
pub(crate) struct FakeServers {
    pub(crate) log: Option<LogServer>,
    pub(crate) executors: Vec<ExecutorServer>,
    pub(crate) workers: Vec<WorkerServer>,
}

impl FakeServers {
    pub(crate) async fn start(settings: EmulatorSettings) -> Result<Self, StepError> {
        let log = match settings.log {
            Some(log) => Some(LogServer::start(log.behaviour, log.listen).await?),
            None => None,
        };
        let mut executors = Vec::with_capacity(settings.executors.len());
        for executor in settings.executors {
            executors.push(ExecutorServer::start(executor.behaviour, executor.listen).await?);
        }
        let mut workers = Vec::with_capacity(settings.workers.len());
        for worker in settings.workers {
            workers.push(WorkerServer::start(worker.behaviour, worker.listen).await?);
        }
        Ok(Self { log, executors, workers })
    }
}

pub(crate) async fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("c", "config", "settings file", "FILE");
    let Some(matches) = options::parse(Command::Emulator, opts, args)? else {
        return Ok(());
    };
    let settings: EmulatorSettings = options::load(&matches)?;
    if let Some(executor) = settings.platform_executor {
        return run_executor(executor).await;
    }
    let servers = FakeServers::start(settings).await?;
    if let Some(log) = &servers.log {
        println!("log http://{}", log.addr());
    }
    servers.executors.iter().for_each(|executor| println!("executor http://{}", executor.addr()));
    servers.workers.iter().for_each(|worker| println!("worker http://{}", worker.addr()));
    serve_until_stopped(pending(), async {}).await?;
    Ok(())
}

/// Runs an executor until the standard input ends, each line of which replaces its faults, or until it
/// has drained after a signal. The first
/// line of the output names its address, the others report its runs.
async fn run_executor(settings: PlatformExecutorSettings) -> Result<(), CliError> {
    let executor = FakeExecutor::start(settings.behaviour, RunLedger::reporting()).await?;
    let executor = Arc::new(executor);
    executor.set_clock(settings.clock);
    println!("{}", json!({ "executor": executor.addr() }));
    let heartbeats = executor.announce(settings.control);
    let (tx, input_ended) = oneshot::channel::<()>();
    let leaving = Arc::clone(&executor);
    thread::spawn(move || {
        let _tx = tx;
        for line in io::stdin().lines().map_while(Result::ok) {
            // The names in faults are static.
            match serde_json::from_str(line.leak()) {
                Ok(faults) => executor.set_faults(faults),
                Err(e) => log::warn!("the line is not a set of faults: {e}"),
            }
        }
    });
    let input_ended = async {
        let _ = input_ended.await;
    };
    let drain = async {
        leaving.begin_leaving();
        sleep(Duration::from_millis(settings.drain_ms)).await;
        heartbeats.abort();
        leaving.deregister(settings.control).await;
    };
    serve_until_stopped(input_ended, drain).await?;
    Ok(())
}
