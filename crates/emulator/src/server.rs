use std::{net::SocketAddr, sync::Arc};

use axum::{Router, extract::DefaultBodyLimit};
use tokio::task::JoinHandle;
use types::{Peer, StepError};

use crate::{
    connection_permit::ConnectionPermit, connections::Connections, listener::ControlledListener,
};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP server whose connections can be reset or made silent; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    connections: Arc<Connections>,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Binds an address and serves a router on it.
    pub(crate) async fn start(
        addr: SocketAddr,
        router: Router,
        connections: Arc<Connections>,
    ) -> Result<Self, StepError> {
        let error = |e| StepError::new("binding", Peer::Address(addr), e);
        let listener =
            ControlledListener::bind(addr, Arc::clone(&connections)).await.map_err(error)?;
        let addr = axum::serve::Listener::local_addr(&listener).map_err(error)?;
        let service = router
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .into_make_service_with_connect_info::<ConnectionPermit>();
        let accepting = tokio::spawn(async move {
            if let Err(e) = axum::serve(listener, service).await {
                log::warn!("emulated server on {addr} stopped accepting connections: {e}");
            }
        });
        Ok(Self { addr, connections, accepting })
    }

    /// Returns the address on which it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the port and resets every connection.
    pub(crate) async fn stop(mut self) {
        self.accepting.abort();
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        self.connections.reset();
    }
}
