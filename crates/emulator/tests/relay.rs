//! What the relay does with bytes under way when one side closes its connection.

use emulator::{PathFault, Relay, RelayFaults};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant, sleep, timeout},
};

#[tokio::test]
async fn a_held_request_and_the_end_behind_it_arrive_after_the_caller_has_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let relay = Relay::start().await.expect("a relay starts");
    relay.set_target(listener.local_addr().expect("it is bound"));
    let mut caller = TcpStream::connect(relay.addr()).await.expect("the relay accepts");
    let (mut entry, _) = listener.accept().await.expect("the relay connects");
    let held = PathFault { is_held: true, gap_ms: 20, ..PathFault::default() };
    relay.set_faults(RelayFaults { out: held, back: PathFault::default() });
    caller.write_all(b"request").await.expect("the relay reads");
    drop(caller);
    // An answer meets a closed connection, which must not drop what is held.
    entry.write_all(b"early answer").await.expect("the relay reads");
    let mut received = Vec::new();
    let early = timeout(Duration::from_millis(100), entry.read_to_end(&mut received)).await;
    assert!(early.is_err() && received.is_empty(), "held, but arrived: {received:?}");
    entry.write_all(b"later answer").await.expect("the relay reads");
    sleep(Duration::from_millis(50)).await;
    let release = Instant::now();
    relay.set_faults(RelayFaults::default());
    entry.read_to_end(&mut received).await.expect("the end arrives");
    assert_eq!(received, b"request");
    assert!(release.elapsed() >= Duration::from_millis(20), "the end came without a gap");
}
