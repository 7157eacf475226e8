//! Compares the application of patches with a model that keeps every version as JSON and
//! has a rule for each key.

use indexmap::IndexMap;
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq},
    prop_oneof, proptest,
    sample::select,
    test_runner::RngSeed,
};
use serde_json::{Value, json};
use services::{ConfigPatch, ConfigState, PatchId, PatchOutcome, SharedConfig, Version};

/// The accepted version; `None` for a rejection.
type Outcome = Option<Version>;

fn accepted_version(outcome: &PatchOutcome) -> Outcome {
    match outcome {
        PatchOutcome::Accepted(version) => Some(*version),
        PatchOutcome::Rejected(fields) => {
            assert!(fields.iter().all(|field| !field.path.is_empty()) && !fields.is_empty());
            None
        }
        PatchOutcome::Duplicate(_) => panic!("the first outcome is a duplicate"),
    }
}

/// A model of [`ConfigState`] that keeps every version and every outcome.
struct Model {
    versions: Vec<Value>,
    outcomes: IndexMap<PatchId, Outcome>,
}

impl Model {
    fn apply(&mut self, patch: &ConfigPatch) -> Outcome {
        if let Some(first) = self.outcomes.get(&patch.patch_id) {
            return *first;
        }
        let current = Version(self.versions.len() as u64 - 1);
        let merged = serde_json::from_str(&patch.patch)
            .map(|patch| merge(&self.versions[current.0 as usize], &patch))
            .ok()
            .filter(|document| patch.base == current && is_valid(document));
        let outcome = merged.is_some().then_some(Version(current.0 + 1));
        self.versions.extend(merged);
        self.outcomes.insert(patch.patch_id, outcome);
        outcome
    }
}

/// The merge algorithm exactly as RFC 7396 specifies it.
fn merge(target: &Value, patch: &Value) -> Value {
    let Value::Object(patch) = patch else { return patch.clone() };
    let mut merged = target.as_object().cloned().unwrap_or_default();
    for (name, value) in patch {
        if value.is_null() {
            merged.remove(name);
        } else {
            let value = merge(merged.get(name).unwrap_or(&Value::Null), value);
            merged.insert(name.clone(), value);
        }
    }
    Value::Object(merged)
}

fn is_valid(document: &Value) -> bool {
    let empty = json!({});
    let section = |key| document.get(key).unwrap_or(&empty);
    let (pools, teams) = (section("pools"), section("teams"));
    let is_service = |_: &str, service: &Value| is_valid_service(service, pools, teams);
    let is_pool = |_: &str, pool: &Value| {
        is_object(pool, &["max_ejected_percent"], |_, value| is_in(value, 0, 100))
    };
    let is_team = |_: &str, team: &Value| {
        let is_limit = |_: &str, value: &Value| is_in(value, 1, u32::MAX.into());
        is_object(team, &["weight", "quota_slots"], is_limit) && team.get("weight").is_some()
    };
    is_object(document, &["services", "pools", "teams"], |key, section| match key {
        "services" => is_object(section, NAMES, is_service),
        "pools" => is_object(section, NAMES, is_pool),
        _ => is_object(section, NAMES, is_team),
    })
}

fn is_valid_service(service: &Value, pools: &Value, teams: &Value) -> bool {
    let refers = |names: &Value, targets: &Value| {
        let names = names.as_array().cloned().unwrap_or_default();
        let is_known = |name: &Value| targets.get(name.as_str().unwrap_or_default()).is_some();
        let is_single = |name| names.iter().filter(|other| *other == name).count() == 1;
        !names.is_empty() && names.iter().all(|name| is_known(name) && is_single(name))
    };
    let keys = ["kinds", "pools", "teams"];
    let is_value = |key: &str, value: &Value| match key {
        "kinds" => *value != json!({}) && is_object(value, NAMES, |_, kind| is_valid_kind(kind)),
        "pools" => refers(value, pools),
        _ => refers(value, teams),
    };
    is_object(service, &keys, is_value) && keys.iter().all(|key| service.get(key).is_some())
}

fn is_valid_kind(kind: &Value) -> bool {
    const REQUIRED: [&str; 4] =
        ["idempotent", "default_deadline_ms", "max_deadline_ms", "expected_run_ms"];
    let keys = [&REQUIRED[..], &["max_attempts", "acceptance"]].concat();
    let is_value = |key: &str, value: &Value| match key {
        "idempotent" => value.is_boolean(),
        "acceptance" => *value == "behind" || *value == "before_start",
        "max_attempts" => is_in(value, 1, u16::MAX.into()),
        _ => is_in(value, 1, u64::MAX),
    };
    let number = |key: &str| kind.get(key).and_then(Value::as_u64);
    let is_once = number("max_attempts").unwrap_or(1) == 1;
    let is_safe = kind["idempotent"] == true || is_once && kind["acceptance"] == "before_start";
    is_object(kind, &keys, is_value)
        && REQUIRED.iter().all(|key| kind.get(key).is_some())
        && number("default_deadline_ms") <= number("max_deadline_ms")
        && is_safe
}

fn is_object(value: &Value, keys: &[&str], is_value: impl Fn(&str, &Value) -> bool) -> bool {
    let is_entry =
        |(key, value): (&String, _)| keys.contains(&key.as_str()) && is_value(key, value);
    value.as_object().is_some_and(|object| object.iter().all(is_entry))
}

fn is_in(value: &Value, min: u64, max: u64) -> bool {
    value.as_u64().is_some_and(|n| (min..=max).contains(&n))
}

const NAMES: &[&str] = &["a", "b", "c"];

fn limit() -> impl Strategy<Value = Value> {
    let edge_cases =
        [json!(0), json!(-1), json!(1.5), json!("1"), json!(70_000), json!([1]), json!(null)];
    prop_oneof![8 => (1_u32..4).prop_map(Value::from), 1 => select(edge_cases.to_vec())]
}

fn names() -> impl Strategy<Value = Value> {
    proptest::collection::vec(select(NAMES), 0..3).prop_map(Value::from)
}

fn kind() -> impl Strategy<Value = Value> {
    let acceptance = select(vec!["before_start", "behind", "later"]);
    let whole = (limit(), limit(), limit(), any::<bool>(), acceptance).prop_map(
        |(default, max, attempts, idempotent, acceptance)| {
            json!({
                "idempotent": idempotent, "max_attempts": attempts, "acceptance": acceptance,
                "default_deadline_ms": default, "max_deadline_ms": max, "expected_run_ms": 1,
            })
        },
    );
    let key = select(vec!["idempotent", "max_attempts", "max_deadline_ms", "color"]);
    prop_oneof![3 => whole, 1 => (key, limit()).prop_map(|(key, value)| json!({key: value}))]
}

fn section(item: impl Strategy<Value = Value>) -> impl Strategy<Value = Value> {
    let name = prop_oneof![30 => select(NAMES), 1 => Just("A b")];
    let item = prop_oneof![10 => item, 1 => Just(Value::Null), 1 => Just(json!([1]))];
    let items = (name, item).prop_map(|(name, item)| json!({name: item}));
    prop_oneof![20 => items, 1 => select(vec![json!(null), json!([]), json!(3)])]
}

fn document() -> impl Strategy<Value = Value> {
    let service = (section(kind()), names(), names())
        .prop_map(|(kinds, pools, teams)| json!({"kinds": kinds, "pools": pools, "teams": teams}));
    let pool = select(vec![json!({}), json!({"max_ejected_percent": 101})]);
    let team = limit().prop_map(|weight| json!({"weight": weight}));
    prop_oneof![
        5 => section(service).prop_map(|services| json!({"services": services})),
        3 => section(pool).prop_map(|pools| json!({"pools": pools})),
        3 => section(team).prop_map(|teams| json!({"teams": teams})),
        1 => select(vec![json!({}), json!({"zones": {}}), json!([]), json!(null)]),
    ]
}

/// A patch: its identifier, the difference between its base and the current version, and
/// its text.
fn step() -> impl Strategy<Value = (u128, i64, String)> {
    let distance = prop_oneof![12 => Just(0_i64), 1 => -2_i64..3];
    let text = document().prop_map(|document: Value| document.to_string());
    (0_u128..60, distance, prop_oneof![30 => text, 1 => Just("{".to_owned())])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcomes_and_versions_match_the_model(
        steps in proptest::collection::vec(step(), 1..60),
        restored_at in 0_usize..60,
    ) {
        let mut model = Model { versions: vec![json!({})], outcomes: IndexMap::new() };
        let mut state = ConfigState::default();
        for (i, (id, distance, patch)) in steps.into_iter().enumerate() {
            if i == restored_at {
                state = ConfigState::restore(state.snapshot()).unwrap();
            }
            let base = Version(state.version().0.saturating_add_signed(distance));
            let patch = ConfigPatch { patch_id: PatchId::from_u128(id), base, patch };
            let is_repeated = model.outcomes.contains_key(&patch.patch_id);
            let outcome = state.apply(&patch);
            prop_assert_eq!(matches!(outcome, PatchOutcome::Duplicate(_)), is_repeated);
            prop_assert_eq!(accepted_version(outcome.first()), model.apply(&patch));
            prop_assert_eq!(state.version().0, model.versions.len() as u64 - 1);
            let expected: SharedConfig =
                serde_json::from_value(model.versions.last().unwrap().clone()).unwrap();
            prop_assert_eq!(state.config().as_ref(), &expected);
        }
    }

    /// Exactly one of several patches with the same base version is accepted, if any is valid.
    #[test]
    fn at_most_one_patch_for_a_base_version_is_accepted(
        documents in proptest::collection::vec(document(), 1..8),
    ) {
        let mut state = ConfigState::default();
        let outcomes = (0..).zip(&documents).map(|(id, document)| {
            let patch_id = PatchId::from_u128(id);
            let patch = document.to_string();
            accepted_version(&state.apply(&ConfigPatch { patch_id, base: Version(0), patch }))
        });
        let accepted = outcomes.flatten().count();
        let expected = documents.iter().any(|document| is_valid(&merge(&json!({}), document)));
        prop_assert_eq!(accepted, usize::from(expected));
        prop_assert!(accepted <= 1);
    }
}
