//! Clients that send a body except for its last part and keep the connection open.

use std::net::SocketAddr;

use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet};

/// How the bodies are sent.
#[derive(Clone, Copy)]
pub(crate) enum Framing {
    /// With a Content-Length.
    Whole,
    /// In chunks of this number of bytes.
    Chunks(usize),
    /// There is no body, and the head does not end.
    HeadOnly,
}

/// Load from clients, all at the same time, each with one body.
#[derive(Clone, Copy)]
pub(crate) struct ClientLoad {
    pub(crate) clients: usize,
    /// Bytes of the body that each client sends.
    pub(crate) sent_bytes: usize,
    /// Bytes that are missing at the end. A chunked body has no last chunk.
    pub(crate) missing_bytes: usize,
    pub(crate) framing: Framing,
}

impl ClientLoad {
    /// Sends the load and returns the connections that are still open. The entry may refuse clients
    /// and close connections at any time.
    pub(crate) async fn send(self, entry: SocketAddr) -> Vec<TcpStream> {
        let head = |client| format!("POST /j/{client:016x} HTTP/1.1\r\nHost: jobs.example\r\n");
        self.send_with_head(entry, head).await
    }

    /// As [`ClientLoad::send`]; `head` returns the head of a client's request up to the fields about
    /// the body.
    pub(crate) async fn send_with_head(
        self,
        entry: SocketAddr,
        head: impl Fn(usize) -> String,
    ) -> Vec<TcpStream> {
        let mut tasks = JoinSet::new();
        for client in 0..self.clients {
            tasks.spawn(self.send_request(entry, head(client)));
        }
        let mut connections = Vec::new();
        while let Some(connection) = tasks.join_next().await {
            connections.extend(connection.expect("a client does not panic"));
        }
        connections
    }

    /// Sends one request; returns `None` when the entry has closed the connection.
    async fn send_request(self, entry: SocketAddr, head: String) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(entry).await.ok()?;
        let body = vec![b' '; self.sent_bytes];
        let message = match self.framing {
            Framing::Whole => {
                let length = self.sent_bytes + self.missing_bytes;
                let head = format!("{head}Content-Length: {length}\r\n\r\n");
                [head.as_bytes(), &body].concat()
            }
            Framing::Chunks(size) => {
                let mut message = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                for chunk in body.chunks(size) {
                    message.extend(format!("{:x}\r\n", chunk.len()).bytes());
                    message.extend(chunk);
                    message.extend(b"\r\n");
                }
                message
            }
            Framing::HeadOnly => head.into_bytes(),
        };
        stream.write_all(&message).await.ok()?;
        Some(stream)
    }
}
