//! Bytes that the system has received for a process that does not read them, because it is stopped or
//! gets no processor time.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout};

use crate::{
    ONE_TEST_AT_A_TIME,
    direct_system::{DirectSystem, Timing, with_entry_settings},
    ordinary_request,
    process_usage::MemoryPeak,
    role::Signal,
};

/// Memory and descriptors of the entry's host.
const MEMORY_MB: u64 = 48;
const MAX_DESCRIPTORS: usize = 4_100;
/// More clients than the host has memory for, if each has unread bytes in a buffer of the default size.
const CLIENTS: usize = 400;
const BODY_BYTES: usize = 262_144;
const MISSING_BYTES: usize = 100;
/// Time after which the entry counts as hanging.
const HANG: Duration = Duration::from_secs(90);
/// Time for which a client waits for a place in the queue of connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// When the clients connect.
#[derive(Clone, Copy, PartialEq)]
enum Arrival {
    /// Before the process is stopped, with the head of a request.
    BeforeStop,
    /// While it is stopped: the connections stay in the listener's queue.
    DuringStop,
}

async fn connect(entry: SocketAddr) -> Option<TcpStream> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry)).await.ok()?.ok()?;
    let head = format!(
        "POST /j/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    Some(stream)
}

/// Sends a body but for its end, and keeps the connection open. The entry may close it.
async fn send_body(mut stream: TcpStream) -> TcpStream {
    let body = vec![b' '; BODY_BYTES - MISSING_BYTES];
    let _ = stream.write_all(&body).await;
    stream
}

async fn check_stopped_process(test: &str, arrival: Arrival) {
    let _lock = ONE_TEST_AT_A_TIME.lock().await;
    let settings = json!({ "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS });
    with_entry_settings(test, Timing::default(), &settings, async |system: DirectSystem| {
        let entry = system.entry.addr("callers");
        if arrival == Arrival::DuringStop {
            system.entry.signal(Signal::STOP);
        }
        let connecting: JoinSet<_> = (0..CLIENTS).map(|_| connect(entry)).collect();
        let connections = connecting.join_all().await;
        if arrival == Arrival::BeforeStop {
            system.entry.signal(Signal::STOP);
        }
        let sending: JoinSet<_> = connections.into_iter().flatten().map(send_body).collect();
        let mut peak = MemoryPeak::new(system.entry.id(), entry);
        peak.read_until_settled().await;
        system.entry.signal(Signal::CONT);
        peak.read_until_settled().await;
        timeout(HANG, ordinary_request::check(&system)).await.expect("the entry replies");
        drop(sending);
        let Some(usage) = peak.usage() else {
            eprintln!("memory is not checked: this system has no /proc");
            return;
        };
        eprintln!("{usage:?}");
        assert!(
            usage.sum_kib < MEMORY_MB * 1_024,
            "the memory of the host is exhausted: {usage:?}"
        );
        assert!(usage.descriptors < MAX_DESCRIPTORS, "no descriptor is left: {usage:?}");
    })
    .await;
}

/// Guards against receive buffers of connections that together exceed the memory of the host.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_arrive_while_the_process_is_stopped() {
    check_stopped_process("many-stopped", Arrival::BeforeStop).await;
}

/// Guards against a queue of connections whose unread bytes exceed the memory of the host.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_arrive_while_the_process_is_stopped() {
    check_stopped_process("many-queued", Arrival::DuringStop).await;
}
