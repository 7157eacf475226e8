//! Typed messages over TCP: length-delimited frames, encoded with postcard.

use std::{io, marker::PhantomData, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt, stream::SplitSink, stream::SplitStream};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use types::{Peer, StepError};

/// Most bytes of a message: twice the largest record of the platform's store, because a
/// configuration is sent as one message.
const MAX_FRAME_BYTES: usize = 1 << 20;

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Sends messages of one type.
pub(crate) struct FrameTx<T> {
    sink: SplitSink<FramedStream, Bytes>,
    peer: SocketAddr,
    _message: PhantomData<T>,
}

/// Receives messages of one type.
pub(crate) struct FrameRx<T> {
    stream: SplitStream<FramedStream>,
    peer: SocketAddr,
    _message: PhantomData<T>,
}

/// Splits a connection into its sending and receiving side.
pub(crate) fn split<Out, In>(
    stream: TcpStream,
    peer: SocketAddr,
) -> Result<(FrameTx<Out>, FrameRx<In>), StepError> {
    stream
        .set_nodelay(true)
        .map_err(|e| StepError::new("setting up a link", Peer::Address(peer), e))?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let (sink, stream) = Framed::new(stream, codec).split();
    let tx = FrameTx { sink, peer, _message: PhantomData };
    Ok((tx, FrameRx { stream, peer, _message: PhantomData }))
}

types::plain! {
    /// A failed attempt to connect.
    pub(crate) struct ConnectError {
        pub(crate) error: StepError,
        /// Whether the peer's host refused the connection: no process listens at the address.
        pub(crate) is_refused: bool,
    }
}

impl From<ConnectError> for StepError {
    fn from(e: ConnectError) -> Self {
        e.error
    }
}

/// Connects to a peer; fails if that takes longer than `within`.
pub(crate) async fn connect(addr: SocketAddr, within: Duration) -> Result<TcpStream, ConnectError> {
    let result = timeout(within, TcpStream::connect(addr)).await;
    result.unwrap_or_else(|e| Err(e.into())).map_err(|e| ConnectError {
        is_refused: e.kind() == io::ErrorKind::ConnectionRefused,
        error: StepError::new("connecting", Peer::Address(addr), e),
    })
}

impl<T> FrameTx<T> {
    /// Changes the type of the messages that are sent from now on.
    pub(crate) fn retype<U>(self) -> FrameTx<U> {
        FrameTx { sink: self.sink, peer: self.peer, _message: PhantomData }
    }
}

impl<T> FrameRx<T> {
    /// Changes the type of the messages that are received from now on.
    pub(crate) fn retype<U>(self) -> FrameRx<U> {
        FrameRx { stream: self.stream, peer: self.peer, _message: PhantomData }
    }
}

impl<T: Serialize> FrameTx<T> {
    /// Queues a message without sending it yet.
    pub(crate) async fn feed(&mut self, message: &T) -> Result<(), StepError> {
        let fail =
            |e: &dyn std::fmt::Display| StepError::new("sending", Peer::Address(self.peer), e);
        let bytes = postcard::to_stdvec(message).map_err(|e| fail(&e))?;
        self.sink.feed(bytes.into()).await.map_err(|e| fail(&e))
    }

    /// Sends the queued messages.
    pub(crate) async fn flush(&mut self) -> Result<(), StepError> {
        self.sink.flush().await.map_err(|e| StepError::new("sending", Peer::Address(self.peer), e))
    }
}

impl<T: DeserializeOwned> FrameRx<T> {
    /// Returns the next message; fails when the connection was closed or the message cannot be
    /// decoded.
    pub(crate) async fn next(&mut self) -> Result<T, StepError> {
        let fail =
            |e: &dyn std::fmt::Display| StepError::new("receiving", Peer::Address(self.peer), e);
        match self.stream.next().await {
            Some(Ok(bytes)) => postcard::from_bytes(&bytes).map_err(|e| fail(&e)),
            Some(Err(e)) => Err(fail(&e)),
            None => Err(fail(&"connection closed")),
        }
    }
}
