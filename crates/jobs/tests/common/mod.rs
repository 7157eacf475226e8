//! Builders and constants shared by the tests.
#![allow(dead_code, reason = "each test file uses only some of them")]

use jobs::{
    JobTable, JobTerms, RestoredPartition, RestoredState, Submission, SubmitDecision, TableSettings,
};
use proptest::test_runner::{Config, RngSeed};
use rpc::{EntryIdentity, OwnedPartition};
use services::Acceptance;
use types::{
    Answer, Digest, Epoch, Incarnation, JobId, Partition, PartitionCount, Payload, TeamName,
};

pub const NOW_MS: u64 = 1_700_000_000_000;

/// Returns the configuration of the property tests: fixed seed, shrinking, no files for failed
/// cases.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

pub fn entry(n: u8, incarnation: u128) -> EntryIdentity {
    EntryIdentity {
        name: format!("entry-{n}").parse().unwrap(),
        incarnation: Incarnation::from_u128(incarnation),
        addr: ([127, 0, 0, 1], 7000 + u16::from(n)).into(),
    }
}

pub fn job_id(created_ms: u64, n: u8) -> JobId {
    JobId::from_parts(created_ms, [n; 10])
}

pub fn submission(id: JobId, tasks: u32, idempotent: bool, now_ms: u64) -> Submission {
    let payload = |index| Payload::from_json(format!("{{\"job\":\"{id}\",\"task\":{index}}}"));
    let terms = JobTerms {
        id,
        team: "kitchens".parse().unwrap(),
        service: "recipes".parse().unwrap(),
        kind: "allergens".parse().unwrap(),
        digest: Digest::of_bytes(id.as_bytes()),
        tasks,
        idempotent,
        max_attempts: if idempotent { 3 } else { 1 },
        acceptance: if idempotent { Acceptance::Behind } else { Acceptance::BeforeStart },
        accepted_ms: now_ms,
        deadline_ms: now_ms + 5_000,
    };
    Submission { terms, payloads: (0..tasks).map(payload).collect(), wait: true }
}

pub fn other_team() -> TeamName {
    "campaigns".parse().unwrap()
}

pub fn answer(text: &str) -> Answer {
    Answer { payload: Payload::from_json(text.to_owned()), run_us: 1 }
}

pub fn first_epoch(count: PartitionCount) -> RestoredState {
    let owned = |partition: Partition| OwnedPartition { partition, epoch: Epoch(1) };
    let partitions = count.iter().map(|partition| RestoredPartition {
        owned: owned(partition),
        ambiguous_periods: Vec::new(),
    });
    RestoredState { partitions: partitions.collect(), ..RestoredState::default() }
}

/// Returns a table that owns all partitions, confirmed at [`NOW_MS`].
pub fn table<W>(settings: TableSettings) -> JobTable<W> {
    let count = PartitionCount(4);
    let mut table = JobTable::new(settings, count);
    table.restore(first_epoch(count));
    table.confirm(&table.owned(), NOW_MS);
    table
}

pub fn is_start(decision: &SubmitDecision) -> bool {
    matches!(decision, SubmitDecision::Start(_))
}
