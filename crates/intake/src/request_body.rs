//! Reading of request bodies within a byte budget.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::{sleep, timeout};

use crate::{ChargedBody, Intake};

/// Longest time for which the rest of a refused body is read and discarded, so that the client gets
/// the response. Data that is unread when a connection is closed makes the system reset the connection, and the
/// client may lose the response.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);
/// Most bytes of a refused body that are discarded, as a multiple of the largest body.
const MAX_DISCARDED_BODIES: usize = 2;

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

    /// Returns whether the connection must be closed after the response, and the rest of the body
    /// [discarded](discard) until then.
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

/// Reads the rest of a body and discards it, for a limited time and up to twice the largest body. The
/// connection is closed when this ends.
pub async fn discard<B>(mut body: B, limits: BodyLimits)
where
    B: Body<Data = Bytes> + Unpin,
{
    let max_bytes = limits.bytes.saturating_mul(MAX_DISCARDED_BODIES);
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
