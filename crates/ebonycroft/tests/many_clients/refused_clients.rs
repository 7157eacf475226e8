//! Connections of refused clients, and of clients that do not read, end.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    ONE_TEST_AT_A_TIME,
    direct_system::{DirectSystem, Timing, with_request_limits},
};

/// Time after which a connection counts as never closed.
const HANG: Duration = Duration::from_secs(90);
/// Memory of the host, MiB; its budget is 16 of the bodies here.
const MEMORY_MB: u64 = 16;
const SENT_BYTES: usize = 262_144 - 10_000;
/// Pause between the pieces that a client goes on sending.
const SEND_PERIOD: Duration = Duration::from_millis(50);

/// Sends most of a body and goes on sending in small chunks. Returns what was received when the entry
/// has closed the connection.
async fn send_until_closed(entry: SocketAddr) -> String {
    let stream = TcpStream::connect(entry).await.expect("the entry accepts");
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        let head = "POST /j/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n\
            Transfer-Encoding: chunked\r\n\r\n";
        let body = " ".repeat(SENT_BYTES);
        let message = format!("{head}{SENT_BYTES:x}\r\n{body}\r\n");
        if writer.write_all(message.as_bytes()).await.is_err() {
            return;
        }
        while writer.write_all(b"1\r\n \r\n").await.is_ok() {
            sleep(SEND_PERIOD).await;
        }
    });
    let mut received = Vec::new();
    // A reset ends the connection as well.
    let _ = reader.read_to_end(&mut received).await;
    sending.await.expect("the client does not panic");
    String::from_utf8_lossy(&received).into_owned()
}

async fn with_small_entry(test: &str, check: impl AsyncFnOnce(DirectSystem)) {
    let _lock = ONE_TEST_AT_A_TIME.lock().await;
    let settings = json!({ "memory_mb": MEMORY_MB });
    let limits = json!({ "idleTimeoutMs": 3_000 });
    with_request_limits(test, Timing::default(), &settings, &limits, check).await;
}

/// Guards against an entry that keeps the connection of a refused client open while that client goes on
/// sending.
#[tokio::test(flavor = "multi_thread")]
async fn refused_clients_get_a_response_and_are_disconnected_while_they_send() {
    with_small_entry("many-refused", async |system| {
        let entry = system.entry.addr("callers");
        let mut clients: JoinSet<_> = (0..40).map(|_| send_until_closed(entry)).collect();
        let mut refused = 0;
        while let Some(received) = timeout(HANG, clients.join_next()).await.expect("they end") {
            let received = received.expect("the client does not panic").to_ascii_lowercase();
            let is_refused = received.starts_with("http/1.1 503");
            assert!(is_refused || received.starts_with("http/1.1 408"), "{received}");
            assert!(received.contains("connection: close\r\n"), "{received}");
            assert_eq!(received.contains("retry-after: 1\r\n"), is_refused, "{received}");
            refused += u32::from(is_refused);
        }
        assert!(refused > 0, "the budget was not exhausted");
    })
    .await;
}

/// Guards against a body that is sent too slowly to complete and holds memory for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_body_is_refused_when_its_time_is_over() {
    with_small_entry("many-slow", async |system| {
        let received = send_until_closed(system.entry.addr("callers"));
        let received = timeout(HANG, received).await.expect("the connection ends");
        assert!(received.starts_with("HTTP/1.1 408"), "{received}");
    })
    .await;
}

/// Guards against a client that sends requests and never reads a response: the entry can't write, and
/// no timeout of a request is running.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_never_reads_is_disconnected() {
    with_small_entry("many-unread", async |system| {
        let socket = TcpSocket::new_v4().expect("a socket can be made");
        // The responses that the system buffers are few then.
        socket.set_recv_buffer_size(4_096).expect("the buffer can be small");
        let stream = socket.connect(system.entry.addr("callers")).await;
        let mut stream = stream.expect("the entry accepts");
        let request = "GET /j/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
        let requests = request.repeat(1_000);
        let sending = async { while stream.write_all(requests.as_bytes()).await.is_ok() {} };
        timeout(HANG, sending).await.expect("the entry closes the connection");
    })
    .await;
}
