//! `ebonycroft try`: the whole system in one process on loopback.

use std::net::SocketAddr;

use entry::Entry;
use getopts::{Matches, Options};
use reqwest::Client;
use serde_json::{Value, json};
use types::{JobId, Peer, StepError};

use crate::{
    cli_error::CliError,
    command::Command,
    commands::{
        local_system::{LocalSettings, LocalSystem, loopback},
        options, shared,
    },
    shutdown::serve_until_stopped,
};

pub(crate) async fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("c", "config", "shared configuration in place of the built-in one", "FILE");
    opts.optopt("l", "listen", "callers' address", "ADDR");
    opts.optopt("a", "admin", "operators' address", "ADDR");
    opts.optopt("e", "entries", "number of entries", "N");
    opts.optflag("", "once", "run one job for each user, print the answers and stop");
    let Some(matches) = options::parse(Command::Try, opts, args)? else {
        return Ok(());
    };
    let listen = address(&matches, "listen")?;
    let admin = address(&matches, "admin")?;
    let config = match matches.opt_str("config") {
        Some(path) => shared::load(path.as_ref())?,
        None => shared::built_in().map_err(|source| CliError::Settings {
            path: "built-in configuration".into(),
            source,
        })?,
    };
    let system = LocalSystem::start(LocalSettings {
        listen,
        admin,
        entries: options::number(&matches, "entries", 1)?,
        spread: 1.0,
        base_port: None,
        sample_ratio: 1.0,
        config,
    })
    .await?;
    system.print_addresses();
    submit_example_jobs(&system.entries[0]).await?;
    if matches.opt_present("once") {
        return Ok(());
    }
    println!("serving until interrupted");
    serve_until_stopped(system.entries[0].stopped(), drain_all(&system)).await?;
    Ok(())
}

/// Returns the address that an option gives, or by default a free port of the loopback interface.
fn address(matches: &Matches, option: &str) -> Result<SocketAddr, CliError> {
    let parse =
        |text: String| text.parse().map_err(|e| CliError::Usage(format!("--{option}: {e}")));
    matches.opt_str(option).map_or_else(|| Ok(loopback()), parse)
}

async fn drain_all(system: &LocalSystem) {
    for entry in &system.entries {
        entry.drain().await;
    }
}

async fn submit_example_jobs(entry: &Entry) -> Result<(), StepError> {
    let recipe = json!([
        { "batch": "B-1041", "ingredients": ["wheat flour", "milk", "sesame"], "run_ms": 80 },
        { "batch": "B-1042", "ingredients": ["rice", "peanut oil"], "run_ms": 120 },
    ]);
    let notebook = json!([
        { "name": "Marieke the smith", "run_ms": 60 },
        { "name": "the ferryman", "run_ms": 90 },
    ]);
    submit_example_job(entry, "recipe", "allergens", "supervisor", recipe).await?;
    submit_example_job(entry, "notebook", "npc", "master", notebook).await
}

/// Submits a job and prints its answer. Returns an error unless the job is complete.
async fn submit_example_job(
    entry: &Entry,
    service: &str,
    kind: &str,
    token: &str,
    tasks: Value,
) -> Result<(), StepError> {
    let peer = || Peer::Address(entry.addr());
    let failed = |e: reqwest::Error| StepError::new("submitting a job", peer(), e);
    let body = json!({ "id": JobId::generate(), "kind": kind, "tasks": tasks });
    let url = format!("http://{}/v1/services/{service}/jobs", entry.addr());
    let resp = Client::new().post(url).bearer_auth(token).json(&body).send().await;
    let answer: Value = resp.map_err(failed)?.json().await.map_err(failed)?;
    println!("\n{service} job, kind {kind}:\n{answer:#}");
    if answer["status"] != "complete" {
        return Err(StepError::new("submitting a job", peer(), "answer is not complete"));
    }
    Ok(())
}
