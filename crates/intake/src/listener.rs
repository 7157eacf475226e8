//! Listeners whose connections have a small receive buffer.

use std::{net::SocketAddr, time::Duration};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use types::{Peer, StepError};

use crate::{IntakeLimits, limits::RECEIVE_BUFFER_BYTES};

/// Pause after a failed accept, milliseconds. The usual cause is a lack of file descriptors, which
/// passes when other connections are closed.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Binds a listener. Its connections inherit the receive buffer, also while they wait to be accepted.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn listen(addr: SocketAddr, limits: IntakeLimits) -> Result<TcpListener, StepError> {
    let bind = || {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(addr)?;
        socket.listen(limits.queue)
    };
    bind().map_err(|e| StepError::new("listening", Peer::Address(addr), e))
}

/// Returns the address that a listener is bound to.
///
/// # Errors
///
/// Fails when the system does not tell the address.
pub fn local_addr(listener: &TcpListener) -> Result<SocketAddr, StepError> {
    listener.local_addr().map_err(|e| StepError::new("listening", Peer::Local, e))
}

/// Accepts the next connection. Failures are logged, and accepting is tried again after a pause.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!(
                    "accepting an HTTP connection failed: {e}; retrying in {ACCEPT_PAUSE_MS} ms"
                );
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}
