//! Loads of complete requests of legal size that need far more memory than their bytes.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout};

use crate::{
    ONE_TEST_AT_A_TIME,
    direct_system::{Timing, with_entry_settings},
    ordinary_request,
    process_usage::Usage,
};

/// Memory and descriptors that the host of the entry has.
const MEMORY_MB: u64 = 48;
const MAX_DESCRIPTORS: usize = 1_024;
/// Largest body, bytes.
const BODY_BYTES: usize = 262_144;
/// Time after which the entry counts as hanging.
const HANG: Duration = Duration::from_secs(90);
/// Sends a complete request; the response is not read. Returns `None` when the entry has closed the
/// connection.
async fn submit(entry: SocketAddr, client: usize, body: String) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(entry).await.ok()?;
    let head = format!(
        "POST /j/{client:016x} HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 20000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await.ok()?;
    Some(stream)
}

/// Sends one body from each client, and checks the usage and an ordinary request.
async fn check_load(test: &str, clients: usize, body: &str) {
    let _lock = ONE_TEST_AT_A_TIME.lock().await;
    assert!(body.len() <= BODY_BYTES, "the body is legal");
    let settings = json!({ "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS });
    with_entry_settings(test, Timing::default(), &settings, async |system| {
        let entry = system.entry.addr("callers");
        let sending: JoinSet<_> =
            (0..clients).map(|client| submit(entry, client, body.to_owned())).collect();
        let connections = timeout(HANG, sending.join_all()).await.expect("the entry reads");
        let loaded = timeout(HANG, Usage::read_until_settled(system.entry.id())).await;
        let loaded = loaded.expect("the usage settles");
        timeout(HANG, ordinary_request::check(&system)).await.expect("the entry replies");
        drop(connections);
        Usage::check(loaded, MEMORY_MB, MAX_DESCRIPTORS);
    })
    .await;
}

/// Guards against a decoder that keeps the parts of a body that it does not use.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_many_small_elements() {
    let element = r#"{"":{"":0}},"#;
    let elements = element.repeat((BODY_BYTES - 1_000) / element.len());
    let steps = json!([{ "count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }]);
    let body =
        format!(r#"{{"spec":"payload","bestEffort":true,"steps":{steps},"notes":[{elements}0]}}"#);
    check_load("many-elements", 20, &body).await;
}

/// Guards against small bodies whose jobs occupy memory for each of their tasks while they wait.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_as_many_tasks_as_are_permitted() {
    let steps = json!([{ "count": 10_000, "cpu": 1, "memMb": 1, "estimateMs": 1 }]);
    let body = json!({ "spec": "payload", "bestEffort": true, "steps": steps }).to_string();
    check_load("many-tasks", 300, &body).await;
}
