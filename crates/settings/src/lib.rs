//! Reading of settings files: YAML with unknown keys refused, every fault reported with
//! its path, and bearer tokens kept as digests.

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
