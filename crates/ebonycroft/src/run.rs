use std::{env, process::ExitCode};

use flexi_logger::{Logger, LoggerHandle};
use tokio::{
    runtime::{Builder, Runtime},
    task::LocalSet,
};
use types::{Peer, StepError};

use crate::{cli_error::CliError, command::Command, commands};

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run(args: &[String]) -> Result<(), CliError> {
    let Some(first) = args.first() else {
        return Err(CliError::Usage(usage()));
    };
    match first.as_str() {
        "--help" | "-h" | "help" => println!("{}", usage()),
        "--version" | "-V" => println!("ebonycroft {}", env!("CARGO_PKG_VERSION")),
        name => return run_command(Command::parse(name)?, &args[1..]),
    }
    Ok(())
}

fn run_command(command: Command, args: &[String]) -> Result<(), CliError> {
    let _logger = start_logger()?;
    let start_failed = |e| StepError::new("starting the runtime", Peer::Local, e);
    if matches!(command, Command::DirectEntry | Command::DirectAgent) {
        // A host gives these roles only a fraction of one core.
        let runtime = Builder::new_current_thread().enable_all().build().map_err(start_failed)?;
        return runtime.block_on(LocalSet::new().run_until(commands::run_direct(command, args)));
    }
    let runtime = Runtime::new().map_err(start_failed)?;
    let result = runtime.block_on(commands::run(command, args));
    runtime.shutdown_background();
    result
}

/// Log levels by crate; `RUST_LOG` overrides them.
const DEFAULT_LOG: &str =
    "warn,agent=info,ebonycroft=info,emulator=info,entry=info,journal=info,node=info,services=info";

fn start_logger() -> Result<LoggerHandle, StepError> {
    Logger::try_with_env_or_str(DEFAULT_LOG)
        .and_then(|logger| logger.log_to_stderr().start())
        .map_err(|e| StepError::new("starting the logger", Peer::Local, e))
}

fn usage() -> String {
    let lines = Command::ALL.map(|command| format!("  {:14}{}", command.name(), command.summary()));
    format!(
        "ebonycroft: a dispatcher for sub-second tasks\n\nusage: ebonycroft COMMAND [OPTIONS]\n\n\
         {}\n\nebonycroft COMMAND --help shows the options of a command",
        lines.join("\n")
    )
}
