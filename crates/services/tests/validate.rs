//! Rejected configurations and patches: each invalid field is reported with its path.

use std::sync::Arc;

use serde_json::{Value, json};
use services::{
    ConfigPatch, ConfigState, InvalidField, PatchId, PatchOutcome, SharedConfig, Version, validate,
};

fn valid() -> Value {
    json!({
        "services": {"recipe": {
            "kinds": {
                "scale": {
                    "idempotent": true, "max_attempts": 3,
                    "default_deadline_ms": 500, "max_deadline_ms": 1000, "expected_run_ms": 250,
                },
                "book": {
                    "idempotent": false, "acceptance": "before_start",
                    "default_deadline_ms": 500, "max_deadline_ms": 1000, "expected_run_ms": 250,
                },
            },
            "pools": ["kitchens"],
            "teams": ["midlands"],
        }},
        "pools": {"kitchens": {}},
        "teams": {"midlands": {"weight": 1, "quota_slots": 8}},
    })
}

fn state() -> ConfigState {
    let config: SharedConfig = serde_json::from_value(valid()).unwrap();
    ConfigState::from_peer(Version(7), Arc::new(config)).unwrap()
}

fn apply(state: &mut ConfigState, id: u128, base: u64, patch: &str) -> PatchOutcome {
    let patch_id = PatchId::from_u128(id);
    state.apply(&ConfigPatch { patch_id, base: Version(base), patch: patch.to_owned() })
}

const KIND: &str = "services.recipe.kinds.scale";

/// Wraps a patch of a part of the configuration in the objects of its path.
fn patch_at(path: &str, patch: &str) -> String {
    let wrap = |patch, key: &str| format!(r#"{{"{key}": {patch}}}"#);
    path.split('.').rev().filter(|key| !key.is_empty()).fold(patch.to_owned(), wrap)
}

types::cases! {
    // `~` at the start of an expected error stands for the path of the patch.
    fn patch_is_rejected(path: &str, patch: &str, errors: &[&str]) {
        let mut state = state();
        let before = state.config().clone();
        let outcome = apply(&mut state, 1, 7, &patch_at(path, patch));
        let PatchOutcome::Rejected(found) = outcome else { panic!("{outcome:?}") };
        let absolute = |error: &&str| match error.strip_prefix('~') {
            Some(relative) => format!("{path}{relative}"),
            None => error.to_string(),
        };
        let expected: Vec<_> = errors.iter().map(absolute).collect();
        assert_eq!(found.iter().map(InvalidField::to_string).collect::<Vec<_>>(), expected);
        assert_eq!((state.version(), state.config()), (Version(7), &before));
    }

    zero_deadlines: (KIND, r#"{"max_deadline_ms": 0, "default_deadline_ms": 0}"#, &[
        "~.default_deadline_ms: must be greater than zero",
        "~.max_deadline_ms: must be greater than zero",
    ]),
    negative_deadline: (KIND, r#"{"max_deadline_ms": -1}"#, &[
        "~.max_deadline_ms: invalid value: integer `-1`, expected u64",
    ]),
    default_deadline_above_max_deadline: (KIND, r#"{"default_deadline_ms": 1001}"#, &[
        "~.default_deadline_ms: must not exceed max_deadline_ms",
    ]),
    zero_attempts: (KIND, r#"{"max_attempts": 0}"#, &["~.max_attempts: must be greater than zero"]),
    zero_run_time: (KIND, r#"{"expected_run_ms": 0}"#, &[
        "~.expected_run_ms: must be greater than zero",
    ]),
    retries_of_a_kind_that_is_not_idempotent: (KIND, r#"{"idempotent": false}"#, &[
        "~.max_attempts: must be 1 for a kind that is not idempotent",
        "~.acceptance: must be before_start for a kind that is not idempotent",
    ]),
    unknown_key: ("teams.midlands", r#"{"color": 1}"#, &[
        "~.color: unknown field `color`, expected `weight` or `quota_slots`",
    ]),
    array_for_an_object: ("teams", r#"{"midlands": [1, null]}"#, &[
        "~.midlands: has the wrong JSON type",
    ]),
    array_for_the_configuration: ("", "[]", &[".: has the wrong JSON type"]),
    null_for_the_configuration: ("", "null", &[
        ".: invalid type: null, expected struct SharedConfig",
    ]),
    unknown_pool: ("services.recipe", r#"{"pools": ["kitchens", "notebooks"]}"#, &[
        "~.pools: `notebooks` does not exist",
    ]),
    repeated_team: ("services.recipe", r#"{"teams": ["midlands", "midlands"]}"#, &[
        "~.teams: `midlands` is repeated",
    ]),
    removed_pool: ("pools", r#"{"kitchens": null}"#, &[
        "services.recipe.pools: `kitchens` does not exist",
    ]),
    removed_teams: ("", r#"{"teams": null}"#, &[
        "services.recipe.teams: `midlands` does not exist",
    ]),
    empty_service: (
        "services.recipe",
        r#"{"kinds": {"scale": null, "book": null}, "pools": [], "teams": [], "max_tasks": 0}"#,
        &[
            "~.kinds: must not be empty",
            "~.pools: must not be empty",
            "~.teams: must not be empty",
            "~.max_tasks: must be greater than zero",
        ],
    ),
    zero_share_and_quota: ("teams.midlands", r#"{"weight": 0, "quota_slots": 0}"#, &[
        "~.weight: must be greater than zero",
        "~.quota_slots: must be greater than zero",
    ]),
    ejected_percent: ("pools.kitchens", r#"{"max_ejected_percent": 101}"#, &[
        "~.max_ejected_percent: must not exceed 100",
    ]),
}

#[test]
fn valid_configuration_has_no_invalid_fields() {
    assert_eq!(validate(state().config()), Ok(()));
    assert_eq!(validate(&SharedConfig::default()), Ok(()));
}

#[test]
fn text_that_is_not_json_is_rejected() {
    let PatchOutcome::Rejected(errors) = apply(&mut state(), 1, 7, "{") else { panic!("accepted") };
    assert_eq!(errors[0].path, "patch");
}

#[test]
fn snapshot_size_is_bounded_for_any_patches() {
    let mut state = state();
    let teams = |id: u128| {
        let team = |n| format!(r#""team-{id}-{n}": {{"weight": 1}}"#);
        format!(r#"{{"teams": {{{}}}}}"#, (0..100).map(team).collect::<Vec<_>>().join(", "))
    };
    let long_key = format!(r#"{{"{}": 1}}"#, "k".repeat(100_000));
    let too_long = format!("{{{}}}", " ".repeat(128 * 1024));
    for id in 0..60 {
        let base = state.version().0;
        apply(&mut state, 3 * id, base, &teams(id));
        for (id, patch) in [(3 * id + 1, &long_key), (3 * id + 2, &too_long)] {
            let outcome = apply(&mut state, id, base, patch);
            assert!(matches!(outcome, PatchOutcome::Rejected(_)), "{outcome:?}");
        }
    }
    let snapshot = state.snapshot();
    let bytes = serde_json::to_string(&snapshot).unwrap().len();
    assert!((128 * 1024..320 * 1024).contains(&bytes), "{bytes} bytes");
    assert_eq!(ConfigState::restore(snapshot).unwrap(), state);
}

#[test]
fn stale_base_is_rejected() {
    let PatchOutcome::Rejected(errors) = apply(&mut state(), 1, 6, "{}") else {
        panic!("accepted")
    };
    assert_eq!(errors[0].to_string(), "base: is 6 while version 7 is in force");
}

#[test]
fn version_does_not_overflow() {
    let last = Version(u64::MAX);
    let mut state = ConfigState::from_peer(last, state().config().clone()).unwrap();
    let outcome = apply(&mut state, 1, u64::MAX, "{}");
    assert!(matches!(outcome, PatchOutcome::Rejected(_)), "{outcome:?}");
    assert_eq!(state.version(), last);
}

#[test]
fn number_of_remembered_outcomes_is_bounded() {
    let mut state = state();
    for id in 0..2_000 {
        let base = state.version().0;
        assert_eq!(apply(&mut state, id, base, "{}"), PatchOutcome::Accepted(Version(base + 1)));
    }
    assert_eq!(state.snapshot().recent.len(), 1_024);
    assert_eq!(state.patch_outcome(PatchId::from_u128(975)), None);
    assert!(state.patch_outcome(PatchId::from_u128(976)).is_some());
    let forgotten = apply(&mut state, 0, 7, "{}");
    assert!(
        matches!(forgotten, PatchOutcome::Rejected(_)),
        "an accepted patch is never accepted again"
    );
}

#[test]
fn snapshot_with_unknown_content_is_not_restored() {
    let mut snapshot = state().snapshot();
    snapshot.config = r#"{"zones": {}}"#.to_owned();
    let errors = ConfigState::restore(snapshot).unwrap_err();
    assert_eq!(errors[0].path, "zones");
}
