//! The writer with lost answers, refusals, outages and a slow log.  The tests check the
//! content of the log.

mod common;

use std::time::Duration;

use futures::future::join_all;
use journal::{JournalError, Record, Writer, WriterSettings};
use ports::{CallBudget, Offset};
use proptest::{
    prelude::{Strategy, prop_assert, prop_assert_eq},
    sample::select,
    test_runner::{Config, RngSeed, TestRunner},
};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use types::Incarnation;

use crate::common::{AppendOutcome, FakeLog, ReadOutcome, settings, stream};

fn writer(log: &FakeLog) -> Writer<u64> {
    Writer::spawn(log.shared(), settings(stream(), 1))
}

fn bodies(log: &FakeLog) -> Vec<u64> {
    log.records(&stream()).into_iter().flat_map(|record: Record<u64>| record.bodies).collect()
}

#[rstest]
#[case::lost_before_effect(AppendOutcome::LostBeforeEffect, 2)]
#[case::lost_after_effect(AppendOutcome::LostAfterEffect, 1)]
#[case::unanswered_after_effect(AppendOutcome::Unanswered, 1)]
#[case::refused(AppendOutcome::Refused, 2)]
#[tokio::test(start_paused = true)]
async fn failed_append_is_in_the_log_once(#[case] outcome: AppendOutcome, #[case] appends: u64) {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([outcome]));
    let writer = writer(&log);
    let committed = writer.commit(&7).await.unwrap();
    assert_eq!(bodies(&log), [7]);
    assert_eq!(committed.offset.0, 0);
    assert_eq!(log.with(|s| s.appends), appends);
    assert!(writer.state().is_available);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_waits_until_the_log_can_be_read() {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([AppendOutcome::LostAfterEffect]));
    log.with(|s| s.read = ReadOutcome::Down);
    let writer = writer(&log);
    let commit = timeout(Duration::from_secs(3_600), writer.commit(&7)).await;
    assert!(commit.is_err(), "must not be answered before the outcome is known");
    assert!(!writer.state().is_available);
    log.with(|s| s.read = ReadOutcome::Answered);
    writer.flush().await.unwrap();
    assert_eq!(bodies(&log), [7]);
    assert_eq!(log.with(|s| s.appends), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_found_behind_the_records_of_others() {
    let log = FakeLog::default();
    for _ in 0..200 {
        log.put(&stream(), vec![9; 50]);
    }
    log.with(|s| s.script.extend([AppendOutcome::LostAfterEffect]));
    assert_eq!(writer(&log).commit(&7).await.unwrap().offset.0, 200);
    assert_eq!(log.end(&stream()), 201);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_found_when_the_caller_has_read_past_it() {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([AppendOutcome::LostAfterEffect]));
    let writer = writer(&log);
    writer.enqueue(&7).unwrap();
    sleep(Duration::from_millis(1)).await;
    writer.observe_offset(Offset(log.end(&stream())));
    writer.flush().await.unwrap();
    assert_eq!(bodies(&log), [7]);
}

#[tokio::test(start_paused = true)]
async fn late_effect_is_found_after_a_refused_retry() {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([AppendOutcome::LateEffect]));
    log.with(|s| s.script.extend([AppendOutcome::Refused; 60]));
    writer(&log).commit(&7).await.unwrap();
    sleep(Duration::from_secs(120)).await;
    assert_eq!(bodies(&log), [7]);
}

#[rstest]
#[case::wrong_stream(ReadOutcome::WrongStream)]
#[case::offset_gap(ReadOutcome::OffsetGap)]
#[case::empty(ReadOutcome::Empty)]
#[tokio::test(start_paused = true)]
async fn malformed_answer_to_read_back_does_not_confirm_the_append(#[case] read: ReadOutcome) {
    let log = FakeLog::default();
    let writer = writer(&log);
    for body in 0..3 {
        writer.commit(&body).await.unwrap();
    }
    log.truncate(&stream(), 1);
    let new_writer: Writer<u64> = Writer::spawn(log.shared(), settings(stream(), 2));
    log.with(|s| s.script.extend([AppendOutcome::LostAfterEffect]));
    log.with(|s| s.read = read);
    assert!(timeout(Duration::from_secs(60), new_writer.commit(&3)).await.is_err());
    log.with(|s| s.read = ReadOutcome::Answered);
    new_writer.flush().await.unwrap();
    assert_eq!(bodies(&log), [1, 2, 3]);
}

#[tokio::test(start_paused = true)]
async fn waiting_commits_share_the_next_append() {
    let log = FakeLog::default();
    log.with(|s| s.latency = Duration::from_millis(5));
    let writer = writer(&log);
    let started = Instant::now();
    let commits = join_all((0..1_000).map(|body| {
        let writer = writer.clone();
        async move { writer.commit(&body).await }
    }));
    assert!(commits.await.iter().all(Result::is_ok));
    assert!(started.elapsed() <= Duration::from_millis(20), "took {:?}", started.elapsed());
    assert_eq!(bodies(&log), (0..1_000).collect::<Vec<_>>());
    assert_eq!(log.with(|s| s.max_in_flight), 1);
    assert!(log.with(|s| s.appends) <= 2);
}

#[tokio::test(start_paused = true)]
async fn slow_log_delays_bodies_and_loses_none() {
    let log = FakeLog::default();
    log.with(|s| s.latency = Duration::from_secs(4));
    let writer = writer(&log);
    for body in 0..100 {
        writer.enqueue(&body).unwrap();
        sleep(Duration::from_millis(100)).await;
    }
    let oldest = writer.state().oldest_unflushed.unwrap();
    assert!(oldest <= Duration::from_secs(8), "oldest is {oldest:?}");
    writer.flush().await.unwrap();
    assert_eq!(bodies(&log), (0..100).collect::<Vec<_>>());
    assert_eq!(writer.state().backlog_bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn budget_is_shared_by_the_writers_of_a_process() {
    let log = FakeLog::default();
    let budget = CallBudget::new(100.0, 5);
    let writers: Vec<Writer<u64>> = (1..=2)
        .map(|n| {
            let incarnation = Incarnation::from_u128(n);
            let settings = WriterSettings::new(stream(), incarnation, budget.clone());
            Writer::spawn(log.shared(), settings)
        })
        .collect();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        writers.iter().for_each(|writer| writer.enqueue(&1).unwrap());
        sleep(Duration::from_millis(1)).await;
    }
    assert!((190..=210).contains(&log.with(|s| s.appends)), "{} appends", log.with(|s| s.appends));
}

#[tokio::test(start_paused = true)]
async fn backlog_is_bounded_in_an_outage_and_accepted_bodies_are_written_after_it() {
    const LIMIT_BYTES: usize = 64 * 1024;
    let log = FakeLog::default();
    log.with(|s| s.is_down = true);
    let settings = settings(stream(), 1).max_backlog_bytes(LIMIT_BYTES);
    let writer: Writer<u64> = Writer::spawn(log.shared(), settings);
    let started = Instant::now();
    let mut accepted = Vec::new();
    let mut refused = 0;
    for body in (0..).take_while(|_| started.elapsed() < Duration::from_secs(4 * 3_600)) {
        match writer.enqueue(&body) {
            Ok(()) => accepted.push(body),
            Err(JournalError::Full { limit_bytes: LIMIT_BYTES, .. }) => refused += 1,
            Err(error) => panic!("{error}"),
        }
        assert!(writer.state().backlog_bytes <= LIMIT_BYTES);
        sleep(Duration::from_millis(100)).await;
    }
    assert!(refused > 100_000);
    assert!(!writer.state().is_available);
    assert!(log.with(|s| s.appends) < 4 * 3_600, "{} attempts", log.with(|s| s.appends));
    log.with(|s| s.is_down = false);
    writer.flush().await.unwrap();
    assert_eq!(bodies(&log), accepted);
    assert!(writer.state().is_available);
    writer.commit(&1).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn body_larger_than_a_record_is_refused() {
    let log = FakeLog::default();
    let settings = settings(stream(), 1).max_record_bytes(100);
    let writer: Writer<Vec<u8>> = Writer::spawn(log.shared(), settings);
    let refusal = writer.enqueue(&vec![0; 100]).unwrap_err();
    assert!(matches!(refusal, JournalError::TooLarge { bytes: 101, limit_bytes: 100, .. }));
    writer.commit(&vec![0; 99]).await.unwrap();
    assert_eq!(log.records::<Vec<u8>>(&stream()).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn backlog_is_written_after_the_last_handle_is_dropped() {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([AppendOutcome::Refused, AppendOutcome::LostBeforeEffect]));
    let writer = writer(&log);
    (0..10).for_each(|body| writer.enqueue(&body).unwrap());
    drop(writer);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(bodies(&log), (0..10).collect::<Vec<_>>());
}

fn append_outcome() -> impl Strategy<Value = AppendOutcome> {
    select(vec![
        AppendOutcome::Answered,
        AppendOutcome::Refused,
        AppendOutcome::LostBeforeEffect,
        AppendOutcome::LostAfterEffect,
        AppendOutcome::Unanswered,
    ])
}

/// After any sequence of failed appends, the log contains every body once and in order.
#[test]
fn each_body_is_in_the_log_once_and_in_order_after_any_failures() {
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = (
        proptest::collection::vec(append_outcome(), 0..30),
        proptest::collection::vec(0_u64..50, 1..40),
    );
    let result = TestRunner::new(config).run(&strategy, |(outcomes, pauses_ms)| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let log = FakeLog::default();
        log.with(|s| s.latency = Duration::from_millis(5));
        log.with(|s| s.script.extend(outcomes));
        let count = pauses_ms.len() as u64;
        runtime.block_on(async {
            let writer = writer(&log);
            for (body, pause_ms) in (0..).zip(pauses_ms) {
                writer.enqueue(&body).unwrap();
                sleep(Duration::from_millis(pause_ms)).await;
            }
            writer.flush().await.unwrap();
        });
        prop_assert_eq!(bodies(&log), (0..count).collect::<Vec<_>>());
        prop_assert!(log.with(|s| s.max_in_flight) <= 1);
        Ok(())
    });
    result.unwrap();
}
