//! The shared configuration: the built-in one and that of a file.

use std::{fs, path::Path};

use services::SharedConfig;
use settings::{InvalidFields, SettingsError, Validate, parse};

use crate::cli_error::CliError;

/// The shared configuration in the form of a settings file.
#[derive(serde::Deserialize)]
#[serde(transparent)]
struct SharedFile(SharedConfig);

impl Validate for SharedFile {
    fn validate(&self, errors: &mut InvalidFields) {
        if let Err(invalid) = services::validate(&self.0) {
            invalid.iter().for_each(|field| errors.require(false, &field.path, &field.message));
        }
    }
}

/// Returns the configuration that `try` and `load --local` use by default.
pub(crate) fn built_in() -> Result<SharedConfig, SettingsError> {
    const TEXT: &str = include_str!("../../../../config/shared.yaml");
    parse::<SharedFile>(TEXT).map(|file| file.0)
}

/// Reads and validates a file with a shared configuration.
pub(crate) fn load(path: &Path) -> Result<SharedConfig, CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    parse::<SharedFile>(&text)
        .map(|file| file.0)
        .map_err(|source| CliError::Settings { path: path.to_owned(), source })
}
