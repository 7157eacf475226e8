use std::{io, path::PathBuf};

use thiserror::Error;

use crate::InvalidField;

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("reading {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is not YAML.
    #[error("not valid yaml: {0}")]
    Syntax(String),
    /// Settings with faults.
    #[error("{}", list(.0))]
    Invalid(Vec<InvalidField>),
}

fn list(faults: &[InvalidField]) -> String {
    faults.iter().map(InvalidField::to_string).collect::<Vec<_>>().join("\n")
}
