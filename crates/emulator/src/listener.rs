use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::serve::Listener;
use tokio::net::TcpListener;

use crate::{connection::Connection, connections::Connections};

const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// A listener that closes its port while the server is dead and binds it again afterwards.
pub(crate) struct ControlledListener {
    addr: SocketAddr,
    tcp: Option<TcpListener>,
    connections: Arc<Connections>,
}

impl ControlledListener {
    pub(crate) async fn bind(addr: SocketAddr, connections: Arc<Connections>) -> io::Result<Self> {
        let tcp = TcpListener::bind(addr).await?;
        Ok(Self { addr: tcp.local_addr()?, tcp: Some(tcp), connections })
    }

    /// Accepts one connection; returns `None` when the attempt failed or the server became dead
    /// or alive meanwhile, and is then to be called again.
    async fn try_accept(&mut self) -> Option<(Connection, SocketAddr)> {
        let mut dead = self.connections.dead();
        if *dead.borrow_and_update() {
            self.tcp = None;
            dead.changed().await.ok()?;
        }
        let Some(tcp) = &self.tcp else {
            self.tcp = TcpListener::bind(self.addr).await.ok();
            tokio::time::sleep(REBIND_INTERVAL).await;
            return None;
        };
        let (stream, peer) = tokio::select! {
            accepted = tcp.accept() => accepted.ok()?,
            _ = dead.changed() => return None,
        };
        stream.set_nodelay(true).ok()?;
        Some((Connection::new(stream, self.connections.tokens()), peer))
    }
}

impl Listener for ControlledListener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        loop {
            if let Some(accepted) = self.try_accept().await {
                return accepted;
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.addr)
    }
}
