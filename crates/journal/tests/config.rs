//! Patches, snapshots and recovery of the configuration when the log fails.

mod common;

use std::time::Duration;

use futures::future::join_all;
use journal::{
    ChangeOrSnapshot, ConfigFold, ConfigFollower, ConfigPublisher, ConfigRecord, JournalError,
    PublisherSettings, Record, Submission, Writer, WriterSettings,
};
use ports::{Offset, StreamName};
use proptest::{
    prelude::{ProptestConfig, any, prop_assert, prop_assert_eq},
    proptest,
    test_runner::RngSeed,
};
use services::{ConfigPatch, ConfigState, PatchId, PatchOutcome, Version};
use tokio::time::sleep;
use types::Incarnation;

use crate::common::{AppendOutcome, FakeLog, ReadOutcome, settings};

struct Process {
    follower: ConfigFollower,
    publisher: ConfigPublisher,
}

fn start(log: &FakeLog, n: u128, publisher: PublisherSettings) -> Process {
    let log = log.shared();
    let follower = ConfigFollower::spawn(log.clone(), n as u64);
    let writer: WriterSettings = settings(StreamName::config(), n);
    let writer: Writer<ConfigRecord> = Writer::spawn(log, writer);
    let publisher = ConfigPublisher::spawn(follower.clone(), writer, publisher.seed(n as u64));
    Process { follower, publisher }
}

fn rare_snapshots() -> PublisherSettings {
    PublisherSettings::default().snapshot_after(Duration::from_secs(1_000_000))
}

fn patch(id: u128, base: u64, weight: u32) -> ConfigPatch {
    ConfigPatch {
        patch_id: PatchId::from_u128(id),
        base: Version(base),
        patch: format!(r#"{{"teams": {{"midlands": {{"weight": {weight}}}}}}}"#),
    }
}

fn weight(process: &Process) -> u32 {
    process.follower.in_force().config().teams["midlands"].weight
}

fn version(process: &Process) -> u64 {
    process.follower.in_force().version().0
}

fn accepted(version: u64) -> Submission {
    Submission::Decided(PatchOutcome::Accepted(Version(version)))
}

fn snapshots(log: &FakeLog) -> usize {
    let records: Vec<Record<ConfigRecord>> = log.records(&StreamName::config());
    let bodies = records.iter().flat_map(|record| &record.bodies);
    bodies.filter(|body| matches!(body, ChangeOrSnapshot::Snapshot { .. })).count()
}

async fn submit_accepted(process: &Process, ids: std::ops::Range<u64>) {
    for n in ids {
        let submission = process.publisher.submit(patch(n.into(), n, n as u32 + 1)).await;
        assert_eq!(submission.unwrap(), accepted(n + 1));
    }
}

#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_patches_is_accepted_in_every_process() {
    let log = FakeLog::default();
    log.with(|s| s.latency = Duration::from_millis(5));
    let (a, b) = (start(&log, 1, rare_snapshots()), start(&log, 2, rare_snapshots()));
    let submitting = [(&a, 1, 10), (&b, 2, 20)].map(|(process, id, weight)| {
        let publisher = process.publisher.clone();
        tokio::spawn(async move { publisher.submit(patch(id, 0, weight)).await.unwrap() })
    });
    let submissions: Vec<_> = join_all(submitting).await.into_iter().map(Result::unwrap).collect();
    let accepted_count =
        submissions.iter().filter(|submission| **submission == accepted(1)).count();
    assert_eq!(accepted_count, 1, "{submissions:?}");
    sleep(Duration::from_secs(1)).await;
    let expected = if submissions[0] == accepted(1) { 10 } else { 20 };
    assert_eq!([weight(&a), weight(&b)], [expected; 2]);
    assert_eq!([version(&a), version(&b)], [1; 2]);
}

#[tokio::test(start_paused = true)]
async fn patch_with_a_lost_answer_gets_its_outcome() {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([AppendOutcome::LostAfterEffect]));
    let a = start(&log, 1, rare_snapshots());
    assert_eq!(a.publisher.submit(patch(1, 0, 10)).await.unwrap(), accepted(1));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(log.end(&StreamName::config()), 1);
    let repeated = a.publisher.submit(patch(1, 0, 10)).await.unwrap();
    let first = Box::new(PatchOutcome::Accepted(Version(1)));
    assert_eq!(repeated, Submission::Decided(PatchOutcome::Duplicate(first)));
    assert_eq!(version(&a), 1);
}

#[tokio::test(start_paused = true)]
async fn patch_is_undecided_in_an_outage_and_decided_after_it() {
    let log = FakeLog::default();
    let a = start(&log, 1, rare_snapshots());
    submit_accepted(&a, 0..2).await;
    log.with(|s| s.is_down = true);
    let submission = a.publisher.submit(patch(9, 2, 10)).await.unwrap();
    let patch_id = PatchId::from_u128(9);
    assert_eq!(submission, Submission::Undecided { patch_id });
    for id in 10..20 {
        let refusal = a.publisher.submit(patch(id, 2, 20)).await.unwrap_err();
        assert!(matches!(refusal, JournalError::Unavailable(_)), "{refusal}");
    }
    assert_eq!(a.publisher.patch_outcome(patch_id), None);
    assert_eq!(weight(&a), 2);
    sleep(Duration::from_secs(4 * 3_600)).await;
    log.with(|s| s.is_down = false);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(a.publisher.patch_outcome(patch_id), Some(PatchOutcome::Accepted(Version(3))));
    assert_eq!((version(&a), weight(&a)), (3, 10));
    assert_eq!(log.end(&StreamName::config()), 3, "refused patches are not in the log");
}

#[tokio::test(start_paused = true)]
async fn patch_that_cannot_be_read_back_is_undecided() {
    let log = FakeLog::default();
    let a = start(&log, 1, rare_snapshots().decision_timeout(Duration::from_millis(500)));
    sleep(Duration::from_secs(10)).await;
    log.with(|s| s.read = ReadOutcome::Down);
    let submission = a.publisher.submit(patch(1, 0, 10)).await.unwrap();
    assert_eq!(submission, Submission::Undecided { patch_id: PatchId::from_u128(1) });
    log.with(|s| s.read = ReadOutcome::Answered);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(
        a.publisher.patch_outcome(PatchId::from_u128(1)),
        Some(PatchOutcome::Accepted(Version(1)))
    );
}

#[tokio::test(start_paused = true)]
async fn adopted_version_is_never_replaced_by_a_lower_one() {
    let log = FakeLog::default();
    let a = start(&log, 1, rare_snapshots());
    submit_accepted(&a, 0..5).await;
    log.with(|s| s.is_down = true);
    let b = start(&log, 2, rare_snapshots());
    sleep(Duration::from_secs(60)).await;
    assert_eq!(version(&b), 0);
    let known = a.follower.in_force();
    let adopt = |version| b.follower.adopt(version, known.config().clone()).unwrap();
    assert!(adopt(known.version()));
    assert!(!adopt(Version(4)));
    let mut in_force = b.follower.subscribe();
    assert_eq!(in_force.borrow_and_update().version(), Version(5));
    log.with(|s| s.is_down = false);
    sleep(Duration::from_secs(60)).await;
    assert!(!in_force.has_changed().unwrap(), "a lower version was put in force");
    assert_eq!(b.publisher.submit(patch(9, 5, 50)).await.unwrap(), accepted(6));
    sleep(Duration::from_secs(1)).await;
    assert_eq!([weight(&a), weight(&b)], [50; 2]);
}

#[tokio::test(start_paused = true)]
async fn snapshot_replaces_truncated_records() {
    let log = FakeLog::default();
    let a = start(&log, 1, rare_snapshots().snapshot_every_changes(10));
    submit_accepted(&a, 0..100).await;
    sleep(Duration::from_secs(60)).await;
    let count = snapshots(&log);
    assert!((5..=10).contains(&count), "{count} snapshots");
    let end = log.end(&StreamName::config());
    log.truncate(&StreamName::config(), end - 20);
    let b = start(&log, 2, rare_snapshots());
    sleep(Duration::from_secs(1)).await;
    assert_eq!((version(&b), weight(&b)), (100, 100));
    let first = a.publisher.patch_outcome(PatchId::from_u128(3));
    assert_eq!(
        b.publisher.patch_outcome(PatchId::from_u128(3)),
        first,
        "the snapshot includes outcomes"
    );
}

#[tokio::test(start_paused = true)]
async fn idle_processes_share_the_writing_of_snapshots() {
    let log = FakeLog::default();
    let settings = || rare_snapshots().snapshot_after(Duration::from_secs(600));
    let processes: Vec<_> = (1..=10).map(|n| start(&log, n, settings())).collect();
    submit_accepted(&processes[0], 0..1).await;
    sleep(Duration::from_secs(6 * 3_600)).await;
    let count = snapshots(&log);
    assert!((24..=72).contains(&count), "{count} snapshots in 6 h");
}

#[tokio::test(start_paused = true)]
async fn process_without_usable_snapshot_refuses_patches_until_a_checkpoint() {
    let log = FakeLog::default();
    let a = start(&log, 1, rare_snapshots());
    submit_accepted(&a, 0..5).await;
    log.truncate(&StreamName::config(), 5);
    let b = start(&log, 2, rare_snapshots());
    sleep(Duration::from_secs(1)).await;
    assert_eq!(version(&b), 0);
    let refusal = b.publisher.submit(patch(9, 0, 50)).await.unwrap_err();
    assert!(matches!(refusal, JournalError::Unavailable(_)), "{refusal}");
    a.publisher.checkpoint().await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!((version(&b), weight(&b)), (5, 5));
    assert_eq!(b.publisher.submit(patch(9, 5, 50)).await.unwrap(), accepted(6));
}

#[tokio::test(start_paused = true)]
async fn unreadable_record_leaves_the_configuration_in_force_until_a_checkpoint() {
    let log = FakeLog::default();
    let (a, b) = (start(&log, 1, rare_snapshots()), start(&log, 2, rare_snapshots()));
    submit_accepted(&a, 0..5).await;
    log.put(&StreamName::config(), vec![9; 50]);
    sleep(Duration::from_secs(60)).await;
    for process in [&a, &b] {
        assert!(process.follower.progress().borrow().is_recovering);
        assert_eq!((version(process), weight(process)), (5, 5));
        assert!(process.publisher.submit(patch(9, 5, 50)).await.is_err());
    }
    b.publisher.checkpoint().await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let c = start(&log, 3, rare_snapshots());
    assert_eq!(a.publisher.submit(patch(9, 5, 50)).await.unwrap(), accepted(6));
    sleep(Duration::from_secs(10)).await;
    assert_eq!([version(&a), version(&b), version(&c)], [6; 3]);
}

#[tokio::test(start_paused = true)]
async fn checkpoint_distributes_an_adopted_version_above_that_of_the_stream() {
    let log = FakeLog::default();
    let (a, b) = (start(&log, 1, rare_snapshots()), start(&log, 2, rare_snapshots()));
    submit_accepted(&a, 0..2).await;
    let config = a.follower.in_force().config().clone();
    assert!(a.follower.adopt(Version(40), config).unwrap());
    a.publisher.checkpoint().await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!([version(&a), version(&b)], [40; 2]);
    assert_eq!(b.publisher.submit(patch(9, 40, 50)).await.unwrap(), accepted(41));
}

/// Builds a stream from random numbers: each step becomes a patch, or a snapshot of the
/// state some records before.
fn history(steps: &[(u8, u8, u8)]) -> Vec<Record<ConfigRecord>> {
    let mut states = vec![ConfigState::default()];
    let mut records = Vec::new();
    for (offset, (kind, id, lag)) in (0..).zip(steps) {
        let current = states.last().unwrap().clone();
        let body = if kind % 4 == 0 {
            let next = states.len() - 1 - usize::from(lag % 4).min(states.len() - 1);
            let state = states[next].snapshot();
            ChangeOrSnapshot::Snapshot { next: Offset(next as u64), state }
        } else {
            let base = current.version().0.saturating_sub(u64::from(lag % 3 / 2));
            ChangeOrSnapshot::Change(patch(u128::from(id % 40), base, u32::from(id % 5)))
        };
        let mut state = current;
        if let ChangeOrSnapshot::Change(patch) = &body {
            state.apply(patch);
        }
        states.push(state);
        let writer = Incarnation::from_u128(1);
        records.push(Record {
            offset: Offset(offset),
            writer,
            sequence: offset + 1,
            bodies: vec![body],
        });
    }
    records
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A process that reads a truncated stream reaches the same state as one that has read
    /// all of it, or reports that it has found no usable snapshot.
    #[test]
    fn truncated_stream_leads_to_the_same_state(
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 1..60),
        truncated_at in 0_usize..60,
    ) {
        let records = history(&steps);
        let truncated_at = truncated_at.min(records.len());
        let mut whole = ConfigFold::default();
        records.iter().cloned().for_each(|record| whole.push(record));
        let mut late = ConfigFold::default();
        late.recover_from(Offset(truncated_at as u64));
        let mut versions = vec![late.state().version()];
        for record in records[truncated_at..].iter().cloned() {
            late.push(record);
            versions.push(late.state().version());
        }
        prop_assert!(!whole.is_recovering());
        prop_assert!(versions.is_sorted());
        let is_usable = |record: &Record<ConfigRecord>| matches!(
            &record.bodies[0],
            ChangeOrSnapshot::Snapshot { next, .. } if next.0 >= truncated_at as u64
        );
        prop_assert_eq!(late.is_recovering(), !records[truncated_at..].iter().any(is_usable));
        if !late.is_recovering() {
            prop_assert_eq!(late.state(), whole.state());
        }
    }
}
