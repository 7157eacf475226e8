//! Parsing of a command's options and of the settings files that they name.

use std::path::{Path, PathBuf};

use getopts::{Matches, Options};
use serde::de::DeserializeOwned;
use settings::Validate;

use crate::{cli_error::CliError, command::Command};

/// Parses the options of a command. With `--help`, prints the usage and returns `None`.
pub(crate) fn parse(
    command: Command,
    mut options: Options,
    args: &[String],
) -> Result<Option<Matches>, CliError> {
    options.optflag("h", "help", "show this text");
    let matches = options.parse(args).map_err(|e| CliError::Usage(e.to_string()))?;
    if let Some(extra) = matches.free.first() {
        return Err(CliError::Usage(format!("unexpected argument `{extra}`")));
    }
    if matches.opt_present("help") {
        let brief = format!("ebonycroft {}: {}", command.name(), command.summary());
        print!("{}", options.usage(&brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Returns the value of a mandatory option.
pub(crate) fn required(matches: &Matches, name: &str) -> Result<String, CliError> {
    matches.opt_str(name).ok_or_else(|| CliError::Usage(format!("--{name} is required")))
}

/// Reads and validates the settings file that `--config` names.
pub(crate) fn load<T: DeserializeOwned + Validate>(matches: &Matches) -> Result<T, CliError> {
    load_file(&PathBuf::from(required(matches, "config")?))
}

/// Reads and validates a settings file.
pub(crate) fn load_file<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, CliError> {
    settings::load(path).map_err(|source| CliError::Settings { path: path.to_owned(), source })
}

/// Returns the value of a numeric option, or `default` when it is absent.
pub(crate) fn number<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
    default: T,
) -> Result<T, CliError>
where
    T::Err: std::fmt::Display,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse().map_err(|e| CliError::Usage(format!("--{name} {text}: {e}")))
}
