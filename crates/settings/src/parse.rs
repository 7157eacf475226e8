use std::{fs, path::Path};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{InvalidField, InvalidFields, SettingsError};

/// Settings that can be checked beyond their types.
pub trait Validate {
    /// Records every fault of the settings.
    fn validate(&self, errors: &mut InvalidFields);
}

/// Reads settings from a file.
///
/// # Errors
///
/// When the file cannot be read, is not YAML, or its settings have errors.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    parse(&text)
}

/// Reads settings from YAML text.
///
/// # Errors
///
/// When the text is not YAML or its settings have errors.
pub fn parse<T: DeserializeOwned + Validate>(text: &str) -> Result<T, SettingsError> {
    let value: Value =
        serde_saphyr::from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|e| {
        let fault = InvalidField { path: e.path().to_string(), message: e.inner().to_string() };
        SettingsError::Invalid(vec![fault])
    })?;
    let mut errors = InvalidFields::default();
    settings.validate(&mut errors);
    match errors.into_vec() {
        found if found.is_empty() => Ok(settings),
        found => Err(SettingsError::Invalid(found)),
    }
}
