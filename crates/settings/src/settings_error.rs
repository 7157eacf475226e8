use std::{io, path::PathBuf};

use thiserror::Error;

use crate::InvalidField;

/// An error while reading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("reading {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: io::Error,
    },
    /// The text is not YAML.
    #[error("not valid yaml: {0}")]
    Syntax(String),
    /// Fields are invalid; the message has one line for each.
    #[error("{}", lines(.0))]
    Invalid(Vec<InvalidField>),
}

fn lines(fields: &[InvalidField]) -> String {
    fields.iter().map(InvalidField::to_string).collect::<Vec<_>>().join("\n")
}
