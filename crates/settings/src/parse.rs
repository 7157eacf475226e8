use std::{fs, path::Path};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{InvalidField, InvalidFields, SettingsError};

/// Settings with constraints that their types do not express.
pub trait Validate {
    /// Adds every invalid field to `errors`.
    fn validate(&self, errors: &mut InvalidFields);
}

/// Reads settings from a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not YAML, or if fields are invalid.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    parse(&text)
}

/// Reads settings from YAML text.
///
/// # Errors
///
/// Returns an error if the text is not YAML or if fields are invalid.
pub fn parse<T: DeserializeOwned + Validate>(text: &str) -> Result<T, SettingsError> {
    let value: Value =
        serde_saphyr::from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|e| {
        let error = InvalidField { path: e.path().to_string(), message: e.inner().to_string() };
        SettingsError::Invalid(vec![error])
    })?;
    let mut errors = InvalidFields::default();
    settings.validate(&mut errors);
    match errors.into_vec() {
        fields if fields.is_empty() => Ok(settings),
        fields => Err(SettingsError::Invalid(fields)),
    }
}
