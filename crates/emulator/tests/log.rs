//! The fake store, called through the platform's client.

use std::time::Duration;

use emulator::{LogFaults, LogServer, LogSettings};
use platform::{Listing, ReadOutcome, Record, StoreClient, Topic};
use ports::{Log, LogError, Offset, StreamName};
use rstest::rstest;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn log(settings: LogSettings) -> (LogServer, StoreClient) {
    let server = LogServer::start(settings, "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = StoreClient::new(server.url(), TIMEOUT).unwrap();
    (server, client)
}

async fn append_all(client: &StoreClient, records: &[&str]) {
    for record in records {
        client.append(&StreamName::config(), record.as_bytes().to_vec()).await.unwrap();
    }
}

#[tokio::test]
async fn records_are_read_in_the_order_of_their_appends() {
    let (_server, client) = log(LogSettings::default()).await;
    append_all(&client, &["a", "b", "c"]).await;
    let page = client.read(&StreamName::config(), Offset(1), 0).await.unwrap();
    let data: Vec<&[u8]> = page.records.iter().map(|r| r.data.as_slice()).collect();
    assert_eq!(data, [b"b", b"c"]);
    assert_eq!((page.oldest, page.end), (Offset(0), Offset(3)));
    let other = client.read(&StreamName::claims(), Offset(0), 0).await.unwrap();
    assert_eq!(other.end, Offset(0));
}

#[tokio::test]
async fn read_waits_for_the_next_append() {
    const WAIT_MS: u64 = 10_000;
    let (_server, client) = log(LogSettings::default()).await;
    let stream = StreamName::config();
    let (page, _) =
        tokio::join!(client.read(&stream, Offset(0), WAIT_MS), append_all(&client, &["a"]));
    assert_eq!(page.unwrap().records.len(), 1);
}

#[tokio::test]
async fn read_of_a_truncated_offset_returns_the_oldest_retained_one() {
    let (_server, client) = log(LogSettings { keep_records: Some(2), ..Default::default() }).await;
    append_all(&client, &["a", "b", "c"]).await;
    let error = client.read(&StreamName::config(), Offset(0), 0).await.unwrap_err();
    assert!(matches!(error, LogError::Truncated { oldest: Offset(1), .. }), "{error}");
}

#[tokio::test]
async fn appends_beyond_the_rate_limit_are_refused() {
    let settings =
        LogSettings { append_latency_ms: 0, appends_per_second: 0, ..Default::default() };
    let (server, client) = log(settings).await;
    let error = client.append(&StreamName::config(), vec![1]).await.unwrap_err();
    assert!(matches!(error, LogError::Refused(_)), "{error}");
    assert_eq!(server.appends(), 0);
}

#[tokio::test]
async fn reads_beyond_the_rate_limit_are_refused() {
    let (_server, client) = log(LogSettings { reads_per_second: 0, ..Default::default() }).await;
    let error = client.read(&StreamName::config(), Offset(0), 0).await.unwrap_err();
    assert!(matches!(error, LogError::Refused(_)), "{error}");
}

#[tokio::test]
async fn page_that_cannot_be_decoded_is_malformed() {
    let (server, client) = log(LogSettings::default()).await;
    server.faults().update(|f| f.garbage_answers = true);
    let error = client.read(&StreamName::config(), Offset(0), 0).await.unwrap_err();
    assert!(matches!(error, LogError::Malformed(_)), "{error}");
}

#[tokio::test]
async fn newest_value_of_a_key_is_retained_when_the_records_are_dropped() {
    let (server, client) = log(LogSettings::default()).await;
    client.put(Topic::Entries, "a", b"1").await.unwrap();
    client.put(Topic::Entries, "a", b"2").await.unwrap();
    client.put(Topic::Entries, "b", b"3").await.unwrap();
    server.discard_history();
    assert_eq!(
        client.read_keyed(Topic::Entries, 0, Duration::ZERO).await.unwrap(),
        ReadOutcome::Expired
    );
    let record = |offset: u64, key: &str, value: &'static [u8]| Record {
        offset,
        key: key.into(),
        value: value.into(),
    };
    let records = vec![record(1, "a", b"2"), record(2, "b", b"3")];
    let expected = Listing { records, end: 3, is_complete: true };
    assert_eq!(client.newest(Topic::Entries).await.unwrap(), expected);
}

#[tokio::test]
async fn key_with_an_empty_value_is_removed() {
    let (_server, client) = log(LogSettings::default()).await;
    client.put(Topic::Entries, "a", b"1").await.unwrap();
    client.put(Topic::Entries, "a", b"").await.unwrap();
    let expected = Listing { records: Vec::new(), end: 2, is_complete: true };
    assert_eq!(client.newest(Topic::Entries).await.unwrap(), expected);
}

#[tokio::test]
async fn only_the_operator_writes_configurations() {
    let (server, client) = log(LogSettings::default()).await;
    let error = client.put(Topic::Operator, "config", b"{}").await.unwrap_err();
    assert!(matches!(error, LogError::Refused(_)), "{error}");
    server.put_config(&json!({ "version": 1 }));
    let records = client.newest(Topic::Operator).await.unwrap().records;
    assert!(records.iter().all(Record::is_configuration) && records.len() == 1);
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Done,
    Refused,
    NoAnswer,
    Malformed,
}

fn outcome<T>(result: Result<T, LogError>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(LogError::Refused(_)) => Outcome::Refused,
        Err(LogError::NoAnswer(_)) => Outcome::NoAnswer,
        Err(LogError::Malformed(_) | LogError::Truncated { .. }) => Outcome::Malformed,
    }
}

#[rstest]
#[case::down(LogFaults { down: true, ..Default::default() }, Outcome::Refused, 0)]
#[case::slow(LogFaults { slow_ms: 20, ..Default::default() }, Outcome::Done, 1)]
#[case::lost_after_effect(LogFaults { lose_after_effect: 1, ..Default::default() }, Outcome::NoAnswer, 1)]
#[case::lost_before_effect(LogFaults { lose_before_effect: 1, ..Default::default() }, Outcome::NoAnswer, 0)]
#[case::garbage(LogFaults { garbage_answers: true, ..Default::default() }, Outcome::Malformed, 1)]
#[case::dead(LogFaults { dead: true, ..Default::default() }, Outcome::Refused, 0)]
#[tokio::test]
async fn faults_determine_the_outcome_of_an_append(
    #[case] faults: LogFaults,
    #[case] expected: Outcome,
    #[case] expected_appends: u64,
) {
    let (server, client) = log(LogSettings::default()).await;
    server.faults().set(faults);
    while server.faults().get().dead && tokio::net::TcpStream::connect(server.addr()).await.is_ok()
    {
        tokio::task::yield_now().await;
    }
    assert_eq!(outcome(client.append(&StreamName::config(), vec![1]).await), expected);
    assert_eq!(server.appends(), expected_appends);
}

#[tokio::test]
async fn garbage_replaces_the_first_record_of_one_page() {
    let (server, client) = log(LogSettings::default()).await;
    append_all(&client, &["a", "b"]).await;
    server.faults().update(|f| f.garbage_records = 1);
    let stream = StreamName::config();
    let spoiled = client.read(&stream, Offset(0), 0).await.unwrap();
    assert_eq!(spoiled.records[0].data, [0xff]);
    assert_eq!(spoiled.records[1].data, b"b");
    let clean = client.read(&stream, Offset(0), 0).await.unwrap();
    assert_eq!(clean.records[0].data, b"a");
}

#[tokio::test]
async fn faults_are_cleared_after_the_configured_time() {
    let (server, client) = log(LogSettings::default()).await;
    server.faults().set(LogFaults { down: true, clear_after_ms: Some(20), ..Default::default() });
    while outcome(client.append(&StreamName::config(), vec![1]).await) != Outcome::Done {}
    assert!(!server.faults().get().down);
}
