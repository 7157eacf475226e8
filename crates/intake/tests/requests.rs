//! Tests of bodies and responses within the byte budget of an intake.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{Full, StreamBody};
use hyper::{Request, Response, body::Frame};
use intake::{
    BodyError, BodyLimits, ChargedBody, ConnectionLimits, HttpServer, Intake, IntakeLimits,
    RequestBody, accept, listen, local_addr, read_body,
};
use proptest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

const BODY_LIMITS: BodyLimits = BodyLimits { bytes: 100_000, time: Duration::from_secs(60) };

fn intake(request_bytes: usize, now_ms: fn() -> u64) -> Arc<Intake> {
    Intake::new("test", IntakeLimits::internal(request_bytes), now_ms)
}

async fn read_frames(intake: &Arc<Intake>, frames: Vec<Vec<u8>>) -> Result<ChargedBody, BodyError> {
    let frames = frames.into_iter().map(|data| Ok::<_, Infallible>(Frame::data(Bytes::from(data))));
    let mut body = StreamBody::new(futures::stream::iter(frames));
    read_body(intake, &mut body, BODY_LIMITS).await
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be built").block_on(future)
}

proptest! {
    /// Guards against bytes that are lost or repeated where a body goes from one block to the next.
    #[test]
    fn a_body_in_frames_of_any_size_is_received_whole(sizes in prop::collection::vec(0..20_000_usize, 0..12)) {
        let frames: Vec<Vec<u8>> = sizes
            .iter()
            .enumerate()
            .map(|(i, size)| (0..*size).map(|at| u8::try_from((at + 7 * i) % 251).unwrap_or(0)).collect())
            .collect();
        let expected = frames.concat();
        let received = block_on(read_frames(&intake(1_000_000, || 0), frames));
        match received {
            Ok(received) => prop_assert_eq!(received.bytes(), expected),
            Err(e) => prop_assert!(matches!(e, BodyError::TooLarge(_)) && expected.len() > 100_000),
        }
    }
}

/// Guards against complete requests that wait and no longer count, and against a job whose decoded form
/// is larger than its body by any factor.
#[test]
fn the_bytes_of_complete_requests_count_until_the_response() {
    block_on(async {
        let intake = intake(150_000, || 0);
        let mut first = read_frames(&intake, vec![vec![0; 60_000]]).await.expect("it fits");
        let second = read_frames(&intake, vec![vec![0; 60_000]]).await.expect("it fits");
        let third = read_frames(&intake, vec![vec![0; 60_000]]).await;
        assert!(matches!(third, Err(BodyError::BudgetExhausted)));
        first.replace(5_000).expect("it shrinks");
        read_frames(&intake, vec![vec![0; 60_000]]).await.expect("it fits beside the second one");
        assert!(matches!(first.replace(200_000), Err(BodyError::BudgetExhausted)));
        drop(second);
        read_frames(&intake, vec![vec![0; 90_000]])
            .await
            .expect("the second one has been answered");
    });
}

/// Starts a server whose responses have 100,000 bytes.
async fn serve_large_responses(request_bytes: usize) -> SocketAddr {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = IntakeLimits::internal(request_bytes);
    let listener = listen(addr, limits).expect("a port is free");
    let addr = local_addr(&listener).expect("it has an address");
    let intake = Intake::new("test", limits, || 0);
    tokio::spawn(async move {
        let server = HttpServer::new(intake, Arc::new(AtomicBool::new(false)));
        let limits =
            ConnectionLimits { header_bytes: 8_192, idle_ms: 60_000, discarded_bytes: 4_000_000 };
        let handle = |_: Request<RequestBody>| async {
            Response::new(Full::new(Bytes::from(vec![b' '; 100_000])))
        };
        loop {
            let stream = accept(&listener).await;
            tokio::spawn(server.serve(stream, limits, handle).expect("it is below the limit"));
        }
    });
    addr
}

/// Sends a request and reads the first bytes of the response, with its status.
async fn request(entry: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(entry).await.expect("the server accepts");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: test\r\n\r\n").await.expect("it reads");
    let mut buf = [0; 12];
    stream.read_exact(&mut buf).await.expect("it responds");
    (stream, String::from_utf8_lossy(&buf).into_owned())
}

/// Guards against clients that request large responses and do not read them.
#[test]
fn the_oldest_unread_response_is_dropped_for_a_new_one() {
    block_on(async {
        let server = serve_large_responses(250_000).await;
        let (mut first, first_status) = request(server).await;
        let (second, second_status) = request(server).await;
        assert_eq!([first_status, second_status], ["HTTP/1.1 200", "HTTP/1.1 200"]);
        let (_third, status) = request(server).await;
        assert_eq!(status, "HTTP/1.1 200", "it is ready, so it is sent");
        // The connection of the first one ends, with a reset or without.
        let _ = first.read_to_end(&mut Vec::new()).await;
        drop(second);
    });
}

/// Guards against a connection that is reset with its response because the body was not read: a client
/// whose request is refused by its head must learn that nothing has run.
#[test]
fn the_response_arrives_although_the_body_is_not_used() {
    block_on(async {
        let server = serve_large_responses(1_000_000).await;
        let socket = TcpSocket::new_v4().expect("a socket can be made");
        // The body does not fit into the buffers of the system then.
        socket.set_send_buffer_size(16_384).expect("the buffer can be small");
        let mut stream = socket.connect(server).await.expect("the server accepts");
        let head = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 500000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("the head is read");
        stream.write_all(&vec![b' '; 500_000]).await.expect("the body is read");
        let mut buf = [0; 12];
        stream.read_exact(&mut buf).await.expect("the response arrives");
        assert_eq!(&buf, b"HTTP/1.1 200");
    });
}
