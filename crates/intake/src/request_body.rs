//! Reading of request bodies within a byte budget.

use std::{
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::{
    runtime::Handle,
    time::{sleep, timeout},
};

use crate::{ChargedBody, Intake};

/// Longest time for which the rest of a body that is not used is read and discarded. Data that is unread
/// when a connection is closed makes the system reset the connection, and the client may lose the
/// response.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body, bytes.
    pub bytes: usize,
    /// Longest time to completion.
    pub time: Duration,
}

/// Reason why a body was not received.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than this number of bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// It was not complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// The byte budget for all requests is exhausted.
    #[error("the byte budget for requests is exhausted")]
    BudgetExhausted,
    /// The connection or the encoding of the body failed.
    #[error("reading the body: {0}")]
    Unreadable(String),
}

impl BodyError {
    /// Returns the HTTP status for the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLarge(_) => 413,
            Self::TimedOut => 408,
            Self::BudgetExhausted => 503,
            Self::Unreadable(_) => 400,
        }
    }

    /// Returns whether the connection must be closed after the response.
    pub fn closes_connection(&self) -> bool {
        matches!(self, Self::TooLarge(_) | Self::TimedOut | Self::BudgetExhausted)
    }
}

/// Reads a body.
///
/// # Errors
///
/// Fails when the body exceeds its limits or the byte budget, or when it cannot be read.
pub async fn read_body<B>(
    intake: &Arc<Intake>,
    body: &mut B,
    limits: BodyLimits,
) -> Result<ChargedBody, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let size = body.size_hint();
    if size.lower() > limits.bytes as u64 {
        return Err(BodyError::TooLarge(limits.bytes));
    }
    let declared = size.upper().and_then(|bytes| usize::try_from(bytes).ok());
    let max_bytes = declared.unwrap_or(limits.bytes).min(limits.bytes);
    let (charge, evicted) = intake.begin_body();
    let mut timed_out = pin!(sleep(limits.time));
    loop {
        let frame = tokio::select! {
            biased;
            () = evicted.notified() => return Err(BodyError::BudgetExhausted),
            () = &mut timed_out => return Err(BodyError::TimedOut),
            frame = body.frame() => frame,
        };
        let frame = frame.transpose().map_err(|e| BodyError::Unreadable(e.to_string()))?;
        let Some(frame) = frame else { break };
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if intake.body_len(&charge) + data.len() > limits.bytes {
            return Err(BodyError::TooLarge(limits.bytes));
        }
        if !intake.append(&charge, &data, max_bytes) {
            return Err(BodyError::BudgetExhausted);
        }
    }
    intake.end_body(charge).ok_or(BodyError::BudgetExhausted)
}

/// Body of a request. When it is dropped before its end, the rest is discarded for a while, so that the
/// client gets the response.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Option<Incoming>,
    max_discarded_bytes: usize,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, max_discarded_bytes: usize) -> Self {
        Self { incoming: Some(incoming), max_discarded_bytes }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.incoming {
            Some(incoming) => Pin::new(incoming).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(incoming) = self.incoming.take().filter(|body| !body.is_end_stream()) else {
            return;
        };
        // There is no runtime when the process ends.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(discard(incoming, self.max_discarded_bytes));
        }
    }
}

/// Reads the rest of a body and discards it, for a limited time. The connection is closed when this
/// ends before the body does.
async fn discard(mut body: Incoming, max_bytes: usize) {
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, |data| data.len());
            if discarded > max_bytes {
                return;
            }
        }
    };
    // The client gets no more time when it goes on sending.
    let _ = timeout(DISCARD_TIME, read).await;
}
