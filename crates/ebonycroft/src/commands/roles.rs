//! `ebonycroft entry` and `ebonycroft agent`: runs a role until it is stopped.

use agent::{Agent, AgentParts, AgentSettings};
use entry::{Entry, EntryParts, EntrySettings};
use getopts::Options;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use telemetry::Traces;
use types::{Peer, StepError};

use crate::{
    cli_error::CliError, command::Command, commands::options, shutdown::serve_until_stopped,
};

fn role_options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file", "FILE");
    options
}

/// Installs the recorder of metrics; a process can do this once.
pub(crate) fn install_metrics() -> Result<PrometheusHandle, StepError> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| StepError::new("installing the metrics recorder", Peer::Local, e))
}

/// Returns an error unless the stop was planned: a role also stops when a component that it needs
/// has ended.
fn check_stop(is_planned: bool) -> Result<(), CliError> {
    if is_planned {
        return Ok(());
    }
    let cause = "a component that the process needs has ended";
    Err(StepError::new("serving", Peer::Local, cause).into())
}

pub(crate) async fn run_entry(args: &[String]) -> Result<(), CliError> {
    let Some(matches) = options::parse(Command::Entry, role_options(), args)? else {
        return Ok(());
    };
    let settings: EntrySettings = options::load(&matches)?;
    let parts = EntryParts {
        metrics: Some(install_metrics()?),
        traces: Some(Traces::install(&settings.traces)?),
        log: None,
    };
    let entry = Entry::start(settings, parts).await?;
    log::info!(
        "entry {} serves callers at {}, peers at {}, operators at {}",
        entry.identity().name,
        entry.addr(),
        entry.identity().addr,
        entry.admin_addr()
    );
    serve_until_stopped(entry.stopped(), entry.drain()).await?;
    check_stop(entry.is_draining())
}

pub(crate) async fn run_agent(args: &[String]) -> Result<(), CliError> {
    let Some(matches) = options::parse(Command::Agent, role_options(), args)? else {
        return Ok(());
    };
    let settings: AgentSettings = options::load(&matches)?;
    let parts = AgentParts {
        metrics: Some(install_metrics()?),
        traces: Some(Traces::install(&settings.traces)?),
        executor: None,
    };
    let agent = Agent::start(settings, parts).await?;
    log::info!(
        "agent of upstream {} serves entries at {}, operators at {}",
        agent.identity().upstream,
        agent.identity().addr,
        agent.admin_addr()
    );
    serve_until_stopped(agent.stopped(), agent.drain()).await?;
    check_stop(agent.is_leaving())
}
