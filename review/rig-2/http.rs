//! Small HTTP/1.1 server and client, one thread for each connection.

use std::{
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Pause between two looks for new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// A request as the server has read it.
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Response {
    /// No answer: the channel ends.
    pub const NONE: Self = Self { status: 0, body: Vec::new() };

    pub fn json(status: u16, body: String) -> Self {
        Self { status, body: body.into_bytes() }
    }
}

/// Serves requests on the listener in threads of its own, until `is_closed` is set; the listener is
/// closed then.
pub fn serve(
    listener: TcpListener,
    is_closed: Arc<AtomicBool>,
    handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    listener.set_nonblocking(true).expect("a listener can be set up");
    thread::spawn(move || {
        while !is_closed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let handle = Arc::clone(&handle);
            // A connection that ends is no error here.
            thread::spawn(move || drop(serve_connection(stream, &*handle)));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handle: &dyn Fn(&Request) -> Response,
) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ').map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let response = handle(&Request { method, target, headers, body });
        if response.status == 0 {
            return Ok(());
        }
        let mut out = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        out.extend(&response.body);
        writer.write_all(&out)?;
    }
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first, headers, body))
}

/// Sends one request on a connection of its own. Returns the status and the body, or what went
/// wrong.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> Result<(u16, String), String> {
    let fail = |e: std::io::Error| format!("no answer: {e}");
    let mut stream = TcpStream::connect_timeout(&addr, wait).map_err(fail)?;
    stream.set_nodelay(true).map_err(fail)?;
    stream.set_read_timeout(Some(wait)).map_err(fail)?;
    let mut out = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    out.push_str(body);
    stream.write_all(out.as_bytes()).map_err(fail)?;
    let (first, _, body) = read_message(&mut BufReader::new(stream)).map_err(fail)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the text of a field of a JSON object without nested objects before it.
pub fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns a whole number of a JSON object.
pub fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = json.rsplit_once(&format!("\"{name}\":"))?.1;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
