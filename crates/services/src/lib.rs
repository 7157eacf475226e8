//! The shared configuration: services, kinds of request, pools of upstreams and teams.
//! Patches are validated and applied by a pure function, so every process that applies the
//! same patches reaches the same configuration.

mod acceptance;
mod config_patch;
mod config_snapshot;
mod config_state;
mod document;
mod invalid_field;
mod kind_config;
mod patch_id;
mod patch_outcome;
mod pool_config;
mod recent_outcomes;
mod service_config;
mod shared_config;
mod team_config;
mod validate;
mod version;

pub use crate::{
    acceptance::Acceptance,
    config_patch::ConfigPatch,
    config_snapshot::{ConfigSnapshot, PatchDecision},
    config_state::ConfigState,
    invalid_field::InvalidField,
    kind_config::KindConfig,
    patch_id::PatchId,
    patch_outcome::PatchOutcome,
    pool_config::PoolConfig,
    service_config::ServiceConfig,
    shared_config::SharedConfig,
    team_config::TeamConfig,
    validate::validate,
    version::Version,
};
