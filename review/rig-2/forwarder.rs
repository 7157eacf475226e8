//! Stand-in of the path between a client and a node: passes bytes, and the end of a channel, on
//! after a delay.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// Forwards the channels that arrive at the listener to `target`. What clients send is late by
/// `delay`.
pub fn forward(listener: TcpListener, target: SocketAddr, delay: Duration) {
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            // A channel whose node is gone ends.
            drop(connect(client, target, delay));
        }
    });
}

fn connect(client: TcpStream, target: SocketAddr, delay: Duration) -> std::io::Result<()> {
    let node = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    node.set_nodelay(true)?;
    pump(client.try_clone()?, node.try_clone()?, delay);
    pump(node, client, Duration::ZERO);
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        loop {
            let length = from.read(&mut buffer).unwrap_or(0);
            let is_end = length == 0;
            if tx.send((Instant::now() + delay, buffer[..length].to_vec())).is_err() || is_end {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in rx {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() {
                drop(to.shutdown(Shutdown::Write));
                return;
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}
