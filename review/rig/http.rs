//! A small HTTP/1.1 server and client.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{now_ms, sleep_ms};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(k, _)| *k == key)
            .map(|p| p.1)
    }
}

/// Status of a request that gets no answer.
pub const UNANSWERED: u16 = 0;

pub type Handler = Arc<dyn Fn(&Request) -> (u16, Vec<u8>) + Send + Sync>;

/// A listener that can be closed together with all of its connections.
pub struct Server {
    is_closed: Arc<AtomicBool>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(addr: &str, handler: Handler) -> Server {
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| {
            eprintln!("cannot bind {addr}: {e}");
            std::process::exit(2)
        });
        listener.set_nonblocking(true).unwrap();
        let server = Server { is_closed: Arc::default(), conns: Arc::default() };
        let (is_closed, conns) = (Arc::clone(&server.is_closed), Arc::clone(&server.conns));
        thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        conns.lock().unwrap().push(stream.try_clone().unwrap());
                        let (handler, is_closed) = (Arc::clone(&handler), Arc::clone(&is_closed));
                        thread::spawn(move || serve(stream, &handler, &is_closed));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        server
    }

    /// Closes the listener and all connections; later connections are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for conn in self.conns.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        sleep_ms(5);
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, is_closed: &AtomicBool) {
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
        let mut words = head.lines().next().unwrap_or("").split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request { method, path: path.into(), query: query.into(), body };
        let (status, body) = handler(&request);
        if is_closed.load(Ordering::SeqCst) {
            return;
        }
        if status == UNANSWERED {
            continue;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(&[head.into_bytes(), body].concat()).is_err() {
            return;
        }
    }
}

/// Reads one message with a `Content-Length`; `None` at the end of the connection.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 16_384];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend(&chunk[..n]),
            _ => return None,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone)]
pub enum Reply {
    Status(u16, String),
    /// No connection was made, so nothing was handed in.
    NoConnection,
    /// The channel broke without a complete answer.
    Broken,
    /// No answer within the caller's time.
    NoResponse,
}

/// Makes one call on a channel of its own and waits `timeout_ms` for the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout_ms: u64,
) -> Reply {
    let end_ms = now_ms() + timeout_ms;
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(timeout_ms))
    else {
        return Reply::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    if stream.write_all(&[head.as_bytes(), body].concat()).is_err() {
        return Reply::Broken;
    }
    let (mut buffer, mut chunk) = (Vec::new(), [0u8; 16_384]);
    loop {
        if let Some(end) = buffer.windows(4).position(|w: &[u8]| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                return Reply::Status(status, body);
            }
        }
        if now_ms() >= end_ms {
            return Reply::NoResponse;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Reply::Broken,
            Ok(n) => buffer.extend(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Reply::Broken,
        }
    }
}
