//! `ebonycroft check`: validates the settings of a role or the shared configuration.

use std::path::Path;

use agent::AgentSettings;
use entry::EntrySettings;
use getopts::Options;
use node::{DirectAgentSettings, DirectEntrySettings};

use crate::{
    cli_error::CliError,
    command::Command,
    commands::{emulator::EmulatorSettings, options},
};

#[derive(Clone, Copy)]
enum Role {
    Entry,
    Agent,
    DirectEntry,
    DirectAgent,
    Emulator,
    Shared,
}

pub(crate) fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("c", "config", "settings file", "FILE");
    opts.optopt(
        "r",
        "role",
        "entry (default), agent, direct-entry, direct-agent, emulator or shared",
        "ROLE",
    );
    let Some(matches) = options::parse(Command::Check, opts, args)? else {
        return Ok(());
    };
    let role = matches.opt_str("role").unwrap_or_else(|| "entry".to_owned());
    let role = match role.as_str() {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        "direct-entry" => Role::DirectEntry,
        "direct-agent" => Role::DirectAgent,
        "emulator" => Role::Emulator,
        "shared" => Role::Shared,
        other => return Err(CliError::Usage(format!("unknown role `{other}`"))),
    };
    let path = options::required(&matches, "config")?;
    check(role, Path::new(&path))?;
    println!("{path}: ok");
    Ok(())
}

fn check(role: Role, path: &Path) -> Result<(), CliError> {
    match role {
        Role::Entry => options::load_file::<EntrySettings>(path).map(drop),
        Role::Agent => options::load_file::<AgentSettings>(path).map(drop),
        Role::DirectEntry => options::load_file::<DirectEntrySettings>(path).map(drop),
        Role::DirectAgent => options::load_file::<DirectAgentSettings>(path).map(drop),
        Role::Emulator => options::load_file::<EmulatorSettings>(path).map(drop),
        Role::Shared => crate::commands::shared::load(path).map(drop),
    }
}
