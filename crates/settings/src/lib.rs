//! Reads settings files in YAML.  Unknown keys are errors, every invalid field is reported
//! with its path, and bearer tokens are stored as digests.

mod invalid_field;
mod parse;
mod settings_error;
mod token_digest;

pub use crate::{
    invalid_field::{InvalidField, InvalidFields},
    parse::{Validate, load, parse},
    settings_error::SettingsError,
    token_digest::{TokenDigest, bearer_digest},
};
