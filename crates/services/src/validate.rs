use std::fmt::Display;

use indexmap::{IndexMap, IndexSet};

use crate::{
    Acceptance, InvalidField, KindConfig, PoolConfig, ServiceConfig, SharedConfig, TeamConfig,
};

const MAX_PERCENT: u8 = 100;
const NOT_POSITIVE: &str = "must be greater than zero";

/// Checks a configuration as a whole: references between its parts, limits, and settings
/// that contradict each other.
///
/// # Errors
///
/// Returns every invalid field with its path.
pub fn validate(config: &SharedConfig) -> Result<(), Vec<InvalidField>> {
    let services = config.services.iter().flat_map(|(name, service)| {
        let path = format!("services.{name}");
        check_service(&path, service, config)
    });
    let pools = config.pools.iter().flat_map(|(name, pool)| check_pool(name, pool));
    let teams = config.teams.iter().flat_map(|(name, team)| check_team(name, team));
    let errors: Vec<_> = services.chain(pools).chain(teams).collect();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn check_service(path: &str, service: &ServiceConfig, config: &SharedConfig) -> Vec<InvalidField> {
    let empty = [
        ("kinds", service.kinds.is_empty()),
        ("pools", service.pools.is_empty()),
        ("teams", service.teams.is_empty()),
    ];
    let empty = empty
        .into_iter()
        .filter(|(_, is_empty)| *is_empty)
        .map(|(key, _)| InvalidField::new(format!("{path}.{key}"), "must not be empty"));
    let kinds = service
        .kinds
        .iter()
        .flat_map(|(name, kind)| check_kind(&format!("{path}.kinds.{name}"), kind));
    empty
        .chain(check_positive(&format!("{path}.max_tasks"), service.max_tasks.into()))
        .chain(check_references(&format!("{path}.pools"), &service.pools, &config.pools))
        .chain(check_references(&format!("{path}.teams"), &service.teams, &config.teams))
        .chain(kinds)
        .collect()
}

fn check_references<N, V>(path: &str, names: &[N], targets: &IndexMap<N, V>) -> Vec<InvalidField>
where
    N: Display + Eq + std::hash::Hash,
{
    let unknown = names
        .iter()
        .filter(|name| !targets.contains_key(*name))
        .map(|name| InvalidField::new(path, format!("`{name}` does not exist")));
    let mut seen = IndexSet::new();
    let repeated = names
        .iter()
        .filter(move |name| !seen.insert(*name))
        .map(|name| InvalidField::new(path, format!("`{name}` is repeated")));
    unknown.chain(repeated).collect()
}

fn check_kind(path: &str, kind: &KindConfig) -> Vec<InvalidField> {
    let limits = [
        ("default_deadline_ms", kind.default_deadline_ms),
        ("max_deadline_ms", kind.max_deadline_ms),
        ("expected_run_ms", kind.expected_run_ms),
        ("max_attempts", kind.max_attempts.into()),
    ];
    let limits = limits
        .into_iter()
        .filter_map(|(key, limit)| check_positive(&format!("{path}.{key}"), limit));
    let deadline = (kind.default_deadline_ms > kind.max_deadline_ms).then(|| {
        InvalidField::new(format!("{path}.default_deadline_ms"), "must not exceed max_deadline_ms")
    });
    let attempts = (!kind.idempotent && kind.max_attempts > 1).then(|| {
        InvalidField::new(
            format!("{path}.max_attempts"),
            "must be 1 for a kind that is not idempotent",
        )
    });
    let acceptance = (!kind.idempotent && kind.acceptance != Acceptance::BeforeStart).then(|| {
        InvalidField::new(
            format!("{path}.acceptance"),
            "must be before_start for a kind that is not idempotent",
        )
    });
    limits.chain(deadline).chain(attempts).chain(acceptance).collect()
}

fn check_pool(name: &impl Display, pool: &PoolConfig) -> Option<InvalidField> {
    (pool.max_ejected_percent > MAX_PERCENT).then(|| {
        InvalidField::new(
            format!("pools.{name}.max_ejected_percent"),
            format!("must not exceed {MAX_PERCENT}"),
        )
    })
}

fn check_team(name: &impl Display, team: &TeamConfig) -> Vec<InvalidField> {
    let weight = check_positive(&format!("teams.{name}.weight"), team.weight.into());
    let quota = team
        .quota_slots
        .and_then(|quota| check_positive(&format!("teams.{name}.quota_slots"), quota.into()));
    weight.into_iter().chain(quota).collect()
}

fn check_positive(path: &str, limit: u64) -> Option<InvalidField> {
    (limit == 0).then(|| InvalidField::new(path, NOT_POSITIVE))
}
