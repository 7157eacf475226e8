//! A kept-open HTTP/1.1 channel of a caller to an entry.

use std::{
    io::{Error, ErrorKind, Result},
    net::SocketAddr,
};

use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};

/// A channel on which one request at a time is under way. Dropping it closes it, also while a
/// request is under way.
pub(crate) struct Channel {
    stream: BufReader<TcpStream>,
}

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) is_succeeded: bool,
    /// Whether the entry closes the channel behind it.
    pub(crate) is_last: bool,
}

impl Channel {
    pub(crate) async fn open(entry: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(entry).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Returns whether the channel has neither ended nor bytes that nobody asked for.
    pub(crate) fn is_open(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0]);
        read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Submits a job and waits for the answer.
    pub(crate) async fn submit(&mut self, path: &str, body: &str, limit_ms: u64) -> Result<Reply> {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n\
             Deadline-Ms: {limit_ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(format!("{head}{body}").as_bytes()).await?;
        let status = self.line().await?;
        let status = status.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(ErrorKind::InvalidData)?;
        let (mut length, mut is_last) = (0, false);
        loop {
            let line = self.line().await?.to_ascii_lowercase();
            match line.split_once(": ") {
                Some(("content-length", text)) => length = text.parse().map_err(Error::other)?,
                Some(("connection", text)) => is_last = text == "close",
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let is_succeeded = body.get("state").and_then(Value::as_str) == Some("succeeded");
        Ok(Reply { status, is_succeeded, is_last })
    }

    /// Reads a line of a head, without its end.
    async fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}
