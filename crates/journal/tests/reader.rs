//! Readers and followers of streams with duplicate, damaged or truncated records, and with
//! malformed answers of the log.

mod common;

use std::time::Duration;

use journal::{
    ChangeOrSnapshot, Follower, FollowerEvent, ReadError, Reader, Record, RecordErrorKind,
    Recovered, Recovery, Writer, encode_body, encode_record,
};
use ports::{LogError, Offset};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use types::Incarnation;

use crate::common::{AppendOutcome, FakeLog, ReadOutcome, settings, stream};

type Body = ChangeOrSnapshot<u32, Vec<u32>>;

fn put(log: &FakeLog, writer: u128, sequence: u64, body: u64) {
    let body = encode_body(&body).unwrap();
    let bodies = [body.as_slice()].into_iter();
    log.put(&stream(), encode_record(Incarnation::from_u128(writer), sequence, bodies));
}

fn reader(log: &FakeLog, from: u64) -> Reader<u64> {
    Reader::new(log.shared(), stream(), Offset(from))
}

fn follower(log: &FakeLog) -> Follower<u64> {
    Follower::new(log.shared(), stream(), Offset(0), 1)
}

fn bodies(records: Vec<Record<u64>>) -> Vec<u64> {
    records.into_iter().flat_map(|record| record.bodies).collect()
}

#[tokio::test(start_paused = true)]
async fn duplicate_records_are_read_once() {
    let log = FakeLog::default();
    [(1, 1, 10), (2, 1, 20), (1, 1, 10), (1, 2, 11), (1, 1, 10), (2, 1, 20), (2, 2, 21)]
        .into_iter()
        .for_each(|(writer, sequence, body)| put(&log, writer, sequence, body));
    let page = reader(&log, 0).next_page(0).await.unwrap();
    assert_eq!(bodies(page.records), [10, 20, 11, 21]);
    assert!(page.is_caught_up);
}

#[tokio::test(start_paused = true)]
async fn append_that_takes_effect_after_its_retry_is_read_once() {
    let log = FakeLog::default();
    log.with(|s| s.script.extend([AppendOutcome::LateEffect]));
    let writer: Writer<u64> = Writer::spawn(log.shared(), settings(stream(), 1));
    writer.commit(&1).await.unwrap();
    writer.commit(&2).await.unwrap();
    sleep(Duration::from_secs(120)).await;
    assert_eq!(log.end(&stream()), 3, "the late append is in the log besides the retry");
    let page = reader(&log, 0).next_page(0).await.unwrap();
    assert_eq!(bodies(page.records), [1, 2]);
}

#[rstest]
#[case::wrong_stream(ReadOutcome::WrongStream, "the answer is about stream other")]
#[case::offset_gap(ReadOutcome::OffsetGap, "offset 2 follows where 1 is next")]
#[case::empty(ReadOutcome::Empty, "no records, but the stream ends at offset 3")]
#[tokio::test(start_paused = true)]
async fn malformed_answer_is_an_error_and_keeps_the_position(
    #[case] read: ReadOutcome,
    #[case] message: &str,
) {
    let log = FakeLog::default();
    (1..4).for_each(|n| put(&log, 1, n, n));
    log.with(|s| s.read = read);
    let mut reader = reader(&log, 0);
    let error = reader.next_page(0).await.unwrap_err();
    assert!(matches!(error, ReadError::Log(LogError::Malformed(_))));
    let prefix = "log answered wrongly: reading with stream jobs.test: at offset 0: ";
    assert_eq!(error.to_string(), format!("{prefix}{message}"));
    log.with(|s| s.read = ReadOutcome::Answered);
    assert_eq!(bodies(reader.next_page(0).await.unwrap().records), [1, 2, 3]);
}

#[tokio::test(start_paused = true)]
async fn stream_that_ends_before_the_position_is_an_error() {
    let log = FakeLog::default();
    put(&log, 1, 1, 1);
    let error = reader(&log, 5).next_page(0).await.unwrap_err();
    assert!(error.to_string().contains("at offset 5: the stream ends at offset 1"), "{error}");
}

#[tokio::test(start_paused = true)]
async fn unreadable_record_stops_the_reader_until_it_seeks() {
    let log = FakeLog::default();
    put(&log, 1, 1, 1);
    log.put(&stream(), vec![7; 40]);
    put(&log, 1, 2, 2);
    let mut reader = reader(&log, 0);
    assert_eq!(bodies(reader.next_page(0).await.unwrap().records), [1]);
    for _ in 0..3 {
        let Err(ReadError::Record(error)) = reader.next_page(0).await else { panic!("skipped") };
        assert_eq!((error.offset, error.kind), (Offset(1), RecordErrorKind::UnknownFormat(7)));
    }
    reader.seek(Offset(2));
    assert_eq!(bodies(reader.next_page(0).await.unwrap().records), [2]);
}

#[tokio::test(start_paused = true)]
async fn follower_reports_an_unreadable_record_and_a_truncation() {
    let log = FakeLog::default();
    log.put(&stream(), vec![7; 40]);
    let mut follower = follower(&log);
    let FollowerEvent::Unreadable(error) = follower.next().await else { panic!("skipped") };
    assert_eq!(error.offset, Offset(0));
    (1..6).for_each(|n| put(&log, 1, n, n));
    log.truncate(&stream(), 4);
    let FollowerEvent::Truncated { oldest } = follower.next().await else {
        panic!("truncation not reported")
    };
    follower.seek(oldest);
    let FollowerEvent::Page(page) = follower.next().await else { panic!("no page") };
    assert_eq!(bodies(page.records), [4, 5]);
}

#[tokio::test(start_paused = true)]
async fn follower_resumes_within_two_seconds_after_an_outage() {
    let log = FakeLog::default();
    log.with(|s| s.is_down = true);
    let mut follower = follower(&log);
    let available = follower.availability();
    assert!(timeout(Duration::from_secs(3_600), follower.next()).await.is_err());
    assert!(!*available.borrow());
    put(&log, 1, 1, 1);
    log.with(|s| s.is_down = false);
    let started = Instant::now();
    let FollowerEvent::Page(page) = follower.next().await else { panic!("no page") };
    assert_eq!(bodies(page.records), [1]);
    assert!(started.elapsed() <= Duration::from_secs(2));
    assert!(*available.borrow());
}

fn record(offset: u64, bodies: Vec<Body>) -> Record<Body> {
    Record {
        offset: Offset(offset),
        writer: Incarnation::from_u128(1),
        sequence: offset + 1,
        bodies,
    }
}

fn change(change: u32) -> Body {
    ChangeOrSnapshot::Change(change)
}

fn snapshot(next: u64, state: u32) -> Body {
    ChangeOrSnapshot::Snapshot { next: Offset(next), state: vec![state] }
}

fn recovered(state: u32, changes: &[u32]) -> Option<Recovered<u32, Vec<u32>>> {
    Some(Recovered { state: vec![state], changes: changes.to_vec() })
}

types::cases! {
    fn recovery_from_offset_10(
        bodies: Vec<Vec<Body>>,
        expected: Option<Recovered<u32, Vec<u32>>>,
    ) {
        let mut recovery = Recovery::new(Offset(10));
        let records = (10..).zip(bodies).map(|(offset, bodies)| record(offset, bodies));
        let found = records.into_iter().find_map(|record| recovery.push(record));
        assert_eq!(found, expected);
    }

    no_snapshot: (vec![vec![change(1)], vec![change(2)]], None),
    snapshot_first: (vec![vec![snapshot(10, 5)]], recovered(5, &[])),
    change_between_state_and_snapshot_record: (
        vec![vec![change(1)], vec![change(2)], vec![snapshot(11, 5)]],
        recovered(5, &[2]),
    ),
    change_between_is_truncated: (vec![vec![snapshot(9, 5)], vec![change(1)]], None),
    second_snapshot_is_usable: (
        vec![vec![snapshot(9, 5)], vec![change(1)], vec![snapshot(11, 6)]],
        recovered(6, &[1]),
    ),
    snapshot_and_change_in_one_record: (
        vec![vec![snapshot(10, 5), change(1)]],
        recovered(5, &[1]),
    ),
    snapshot_with_a_next_beyond_its_offset: (vec![vec![snapshot(99, 5)]], None),
}
