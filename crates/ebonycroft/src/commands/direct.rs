//! `ebonycroft direct-entry` and `direct-agent`: the roles for direct jobs, each on one thread.

use getopts::Options;
use node::{DirectAgent, DirectAgentSettings, DirectEntry, DirectEntrySettings, stop_signal};

use crate::{cli_error::CliError, command::Command, commands::options};

pub(crate) async fn run(command: Command, args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("c", "config", "settings file", "FILE");
    let Some(matches) = options::parse(command, opts, args)? else {
        return Ok(());
    };
    let settings_path = Some(options::required(&matches, "config")?.into());
    if command == Command::DirectEntry {
        let settings: DirectEntrySettings = options::load(&matches)?;
        DirectEntry::bind(settings).await?.run(stop_signal(), settings_path).await?;
    } else {
        let settings: DirectAgentSettings = options::load(&matches)?;
        DirectAgent::bind(settings).await?.run(stop_signal(), settings_path).await?;
    }
    Ok(())
}
