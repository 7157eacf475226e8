//! Command line of ebonycroft: one binary with a subcommand for each role.

mod cli_error;
mod command;
mod commands;
mod run;
mod shutdown;

pub use crate::{cli_error::CliError, run::main};
