use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::connections::ConnectionTokens;

/// A TCP connection that can be reset or made silent while it is in use.
///
/// A silent connection carries no data in either direction and is not reset.
pub(crate) struct Connection {
    stream: TcpStream,
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
    silence: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, tokens: ConnectionTokens) -> Self {
        Self {
            stream,
            reset: Box::pin(tokens.reset.cancelled_owned()),
            silence: Box::pin(tokens.silence.cancelled_owned()),
        }
    }

    /// Is ready while the connection is open, fails once it is reset, and stays pending once it
    /// is silent.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.silence.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Pending,
            Poll::Pending => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
