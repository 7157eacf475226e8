//! Reading of the shared configuration from a file.

use std::{fs, path::Path};

use services::SharedConfig;
use settings::{InvalidFields, SettingsError, Validate, parse};

use crate::cli_error::CliError;

/// The shared configuration as a settings file.
#[derive(serde::Deserialize)]
#[serde(transparent)]
struct SharedFile(SharedConfig);

impl Validate for SharedFile {
    fn validate(&self, errors: &mut InvalidFields) {
        if let Err(found) = services::validate(&self.0) {
            found.iter().for_each(|fault| errors.require(false, &fault.path, &fault.message));
        }
    }
}

/// The configuration that `try` starts with.
pub(crate) fn built_in() -> Result<SharedConfig, SettingsError> {
    const TEXT: &str = include_str!("../../../../config/shared.yaml");
    parse::<SharedFile>(TEXT).map(|file| file.0)
}

/// Reads and validates the shared configuration.
pub(crate) fn load(path: &Path) -> Result<SharedConfig, CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    parse::<SharedFile>(&text)
        .map(|file| file.0)
        .map_err(|source| CliError::Settings { path: path.to_owned(), source })
}
