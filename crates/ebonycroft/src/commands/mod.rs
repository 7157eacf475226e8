//! The subcommands, each in a module of its own or with related ones.

mod check;
mod direct;
mod emulator;
mod explain;
mod explain_placement;
mod load;
mod local_system;
mod operator;
mod options;
mod output;
mod roles;
mod shared;
mod try_out;

pub(crate) use crate::commands::direct::run as run_direct;
use crate::{cli_error::CliError, command::Command};

pub(crate) async fn run(command: Command, args: &[String]) -> Result<(), CliError> {
    match command {
        Command::Try => try_out::run(args).await,
        Command::Entry => roles::run_entry(args).await,
        Command::Agent => roles::run_agent(args).await,
        Command::DirectEntry | Command::DirectAgent => run_direct(command, args).await,
        Command::Emulator => emulator::run(args).await,
        Command::Load => load::run(args).await,
        Command::Check => check::run(args),
        Command::Explain => explain::run(args),
        Command::ExplainPlacement => explain_placement::run(args).await,
        Command::Get | Command::Patch | Command::Status | Command::Drain => {
            operator::run(command, args).await
        }
    }
}
