//! Ends of callers' connections that the path holds up for longer than callers take to submit again.

use std::{net::SocketAddr, time::Duration};

use emulator::FakeExecutorFaults;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

use crate::{
    caller_path::{CallerPath, request, submit, with_caller_path},
    fleet::STOP_MS,
    role::Signal,
};

const ID: &str = "5c0e7a21d94b36f8";
/// Another job, whose answer shows that its connection has not been held up.
const OTHER_ID: &str = "00000000000000a1";
/// Long enough that the first run goes on when the job arrives at the second entry.
const RUN_MS: u64 = 4_000;
const SPEC: &str = "payload";
const SHORT_SPEC: &str = "run_ms=1";
/// Pause of the caller before it sends the job again.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);
/// Time after which a refused job is submitted again.
const RETRY_PERIOD: Duration = Duration::from_millis(20);
/// Time from the second submission until the path to the first entry is released.
const RELEASE_DELAY: Duration = Duration::from_millis(200);

/// Connection on which the job is submitted again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connection {
    /// Its first request is the job, so that the entry holds it for a moment.
    New,
    /// It has just carried an answer, so that the entry need not hold the job.
    JustAnswered,
}

/// Whether the end of the first connection arrives while the job waits or runs at the second entry.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Never,
    Late,
}

/// Submits the job, again while it is refused, and returns the answer.
async fn resubmit(addr: SocketAddr, connection: Connection) -> String {
    loop {
        let mut stream = TcpStream::connect(addr).await.expect("the entry accepts");
        if connection == Connection::JustAnswered {
            submit(&mut stream, OTHER_ID, SHORT_SPEC).await;
        }
        let answer = submit(&mut stream, ID, SPEC).await;
        // An entry on a busy machine may take itself for suspended.
        if !answer.starts_with("HTTP/1.1 503") {
            return answer;
        }
        sleep(RETRY_PERIOD).await;
    }
}

/// Submits a job at the first entry, gives up while it runs, and submits it at the second entry while
/// the end of the first connection is under way.
async fn give_up_and_resubmit(mut path: CallerPath, connection: Connection, end: End) {
    for (executor, ..) in &path.executors {
        executor.set_faults(FakeExecutorFaults { stop_ms: STOP_MS, ..Default::default() });
    }
    let mut stream = TcpStream::connect(path.relay.addr()).await.expect("the relay accepts");
    stream.write_all(request(ID, SPEC).as_bytes()).await.expect("the request can be sent");
    while path.ledger.count_runs(ID) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    path.hold(true);
    drop(stream);
    sleep(RESUBMISSION_DELAY).await;
    let call = tokio::spawn(resubmit(path.entries[1].addr("callers"), connection));
    if end == End::Late {
        sleep(RELEASE_DELAY).await;
        path.hold(false);
    }
    let answer = call.await.expect("the call ends");
    while path.ledger.running() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(path.ledger.overlaps(), Vec::<String>::new());
    assert!(answer.starts_with("HTTP/1.1 2"), "{answer}");
    assert!(answer.ends_with(r#"{"state":"succeeded"}"#), "{answer}");
    path.entries[1].signal(Signal::TERM);
    let lines = path.entries[1].lines_about(ID);
    let accepted = lines.iter().find(|line| line["event"] == "accepted").expect("it was accepted");
    assert_eq!(accepted["is_held"], connection == Connection::New, "{accepted}");
}

/// Guards against a second run of a task beside the first one, whose caller has gone unnoticed, when
/// the job comes again on a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_a_caller_who_has_gone_unnoticed_does_not_run_beside_its_resubmission() {
    with_caller_path("late-end-new", RUN_MS, json!({}), async |path| {
        give_up_and_resubmit(path, Connection::New, End::Never).await;
    })
    .await;
}

/// Guards against the same when the job comes again on a connection whose requests are not held.
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmission_that_is_not_held_does_not_start_beside_the_first_run() {
    with_caller_path("late-end-just-answered", RUN_MS, json!({}), async |path| {
        give_up_and_resubmit(path, Connection::JustAnswered, End::Never).await;
    })
    .await;
}

/// Guards against a start before the first run has ended, and against a job that never starts, when
/// the end of the first connection arrives after the resubmission.
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmission_starts_after_the_end_that_arrives_while_it_waits() {
    with_caller_path("late-end-late", RUN_MS, json!({}), async |path| {
        give_up_and_resubmit(path, Connection::New, End::Late).await;
    })
    .await;
}
