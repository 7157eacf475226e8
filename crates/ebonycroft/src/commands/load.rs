//! `ebonycroft load`: runs an open-loop load plan against a running system, or against a system in
//! this process and, for comparison, against a naive dispatcher.

use std::{fs, path::PathBuf};

use emulator::{ExecutorServer, ExecutorSettings};
use getopts::{Matches, Options};
use load::{Comparison, LoadPlan, NaiveDispatcher, NaiveUpstream, NamedReport, Report};
use types::{Peer, StepError};

use crate::{
    cli_error::CliError,
    command::Command,
    commands::{
        local_system::{self, LocalSettings, LocalSystem, loopback},
        options, shared,
    },
};

const DEFAULT_ENTRIES: usize = 3;

pub(crate) async fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("p", "plan", "plan of the run", "FILE");
    opts.optopt("j", "json", "write the reports as JSON", "FILE");
    opts.optflag("l", "local", "start a system in this process and fill in its addresses");
    opts.optflag("n", "naive", "with --local: run a naive dispatcher side by side");
    opts.optopt("e", "entries", "with --local: number of entries", "N");
    opts.optopt("s", "spread", "with --local: fastest over slowest executor", "RATIO");
    opts.optopt("b", "base-port", "with --local: port of the first executor", "PORT");
    let Some(matches) = options::parse(Command::Load, opts, args)? else {
        return Ok(());
    };
    let path = matches
        .opt_str("plan")
        .map(PathBuf::from)
        .ok_or_else(|| CliError::Usage("--plan FILE is required".to_owned()))?;
    let plan: LoadPlan = options::load_file(&path)?;
    let runs = match matches.opt_present("local") {
        true => run_local(plan, &matches).await?,
        false => vec![run_plan("system", plan).await?],
    };
    let violations: u64 = runs.iter().map(|run| run.report.violations()).sum();
    output_reports(runs, &matches)?;
    match violations {
        0 => Ok(()),
        n => Err(StepError::new("checking answers", Peer::Local, format!("{n} violations")).into()),
    }
}

async fn run_local(plan: LoadPlan, matches: &Matches) -> Result<Vec<NamedReport>, CliError> {
    let spread = options::number(matches, "spread", 1.0)?;
    let mut runs = vec![run_system(plan.clone(), matches, spread).await?];
    if matches.opt_present("naive") {
        runs.push(run_naive(plan, spread).await?);
    }
    Ok(runs)
}

async fn run_system(
    mut plan: LoadPlan,
    matches: &Matches,
    spread: f64,
) -> Result<NamedReport, CliError> {
    let config = shared::built_in()
        .map_err(|source| CliError::Settings { path: "built-in configuration".into(), source })?;
    let base_port = match matches.opt_present("base-port") {
        true => Some(options::number(matches, "base-port", 0)?),
        false => None,
    };
    let system = LocalSystem::start(LocalSettings {
        listen: loopback(),
        admin: loopback(),
        entries: options::number(matches, "entries", DEFAULT_ENTRIES)?,
        spread,
        base_port,
        sample_ratio: 0.0,
        config,
    })
    .await?;
    plan.targets = system.entries.iter().map(|e| format!("http://{}", e.addr())).collect();
    plan.executors = system.executor_urls();
    plan.metrics.urls = vec![format!("http://{}/metrics", system.entries[0].admin_addr())];
    run_plan("system", plan).await
}

async fn run_naive(mut plan: LoadPlan, spread: f64) -> Result<NamedReport, CliError> {
    let mut executors = Vec::new();
    let mut upstreams = Vec::new();
    for service in ["recipe", "notebook"] {
        for i in 0..local_system::UPSTREAMS {
            let speed = local_system::speed(i, spread);
            let behaviour = ExecutorSettings { speed, ..Default::default() };
            let executor = ExecutorServer::start(behaviour, loopback()).await?;
            upstreams.push(NaiveUpstream {
                url: executor.url(),
                service: local_system::parse_name(service)?,
                slots: local_system::SLOTS,
            });
            executors.push(executor);
        }
    }
    let naive = NaiveDispatcher::start(upstreams, loopback()).await?;
    plan.targets = vec![naive.url()];
    plan.executors = executors.iter().map(ExecutorServer::url).collect();
    plan.metrics.urls = Vec::new();
    plan.metrics.counters = Vec::new();
    run_plan("naive", plan).await
}

async fn run_plan(name: &str, plan: LoadPlan) -> Result<NamedReport, CliError> {
    let report = load::run(plan, |progress| eprintln!("{progress}")).await;
    let report: Report = report.map_err(|e| StepError::new("running the load", Peer::Local, e))?;
    Ok(NamedReport { name: local_system::parse_name(name)?, report })
}

fn output_reports(runs: Vec<NamedReport>, matches: &Matches) -> Result<(), CliError> {
    runs.iter().for_each(|run| println!("{}\n{}", run.name, run.report));
    let comparison = Comparison { runs };
    if comparison.runs.len() > 1 {
        println!("{comparison}");
    }
    if let Some(path) = matches.opt_str("json") {
        let failed =
            |e: &dyn std::fmt::Display| StepError::new("writing", Peer::Named(path.clone()), e);
        let text = serde_json::to_string_pretty(&comparison).map_err(|e| failed(&e))?;
        fs::write(&path, text).map_err(|e| failed(&e))?;
    }
    Ok(())
}
