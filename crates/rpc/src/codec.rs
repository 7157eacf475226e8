//! Framed, typed TCP connections between processes.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport as SerdeTransport};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use types::{Peer, StepError};

use crate::{MessageName, counting_codec::CountingCodec};

const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept. The usual cause is a lack of file descriptors, which passes when other
/// connections are closed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A connection that receives items of type `I` and sends items of type `O`, in frames of at most
/// 32 MiB.
pub type Transport<I, O> = SerdeTransport<TcpStream, I, O, CountingCodec<I, O>>;

fn framed<I, O>(stream: TcpStream) -> Transport<I, O>
where
    I: for<'de> Deserialize<'de> + MessageName,
    O: Serialize + MessageName,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    serde_transport::new(Framed::new(stream, codec), CountingCodec::default())
}

/// Connects to a peer, with a timeout of one second.
///
/// # Errors
///
/// [`StepError`] if the peer cannot be reached in time.
pub async fn connect<I, O>(addr: SocketAddr) -> Result<Transport<I, O>, StepError>
where
    I: for<'de> Deserialize<'de> + MessageName,
    O: Serialize + MessageName,
{
    const STEP: &str = "connecting";
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|e| StepError::new(STEP, Peer::Address(addr), e))?
        .map_err(|e| StepError::new(STEP, Peer::Address(addr), e))?;
    stream.set_nodelay(true).map_err(|e| StepError::new(STEP, Peer::Address(addr), e))?;
    Ok(framed(stream))
}

/// Binds a listener for other processes of the system.
///
/// # Errors
///
/// [`StepError`] if the address cannot be bound.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(addr).await.map_err(|e| StepError::new("binding", Peer::Address(addr), e))
}

/// Accepts the next connection. Failures are logged, and accepting is tried again after a pause.
pub async fn accept<I, O>(listener: &TcpListener) -> Transport<I, O>
where
    I: for<'de> Deserialize<'de> + MessageName,
    O: Serialize + MessageName,
{
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| stream.set_nodelay(true).map(|()| stream)) {
            Ok(stream) => return framed(stream),
            Err(e) => {
                log::warn!("accepting a connection failed: {e}; retrying in {ACCEPT_PAUSE:?}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
