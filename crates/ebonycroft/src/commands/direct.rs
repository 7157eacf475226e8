//! The roles for direct jobs, each on one thread.

use getopts::Options;
use node::{DirectAgentSettings, DirectEntrySettings};

use crate::{cli_error::CliError, command::Command, commands::options};

pub(crate) async fn run(command: Command, args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("c", "config", "settings file", "FILE");
    let Some(matches) = options::parse(command, opts, args)? else {
        return Ok(());
    };
    if command == Command::DirectEntry {
        let settings: DirectEntrySettings = options::load(&matches)?;
        node::run_entry(settings).await?;
    } else {
        let settings: DirectAgentSettings = options::load(&matches)?;
        node::run_agent(settings).await?;
    }
    Ok(())
}
