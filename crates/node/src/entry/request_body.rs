//! Reading of request bodies into one buffer each.

use std::{pin::pin, rc::Rc, time::Duration};

use direct::BodyKey;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::entry::intake::Intake;

/// Longest time for which the rest of a refused body is read and discarded, so that the client gets
/// the response. Data that is unread when a connection is closed makes the system reset the connection, and the
/// client may lose the response.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);
/// Most bytes of a refused body that are discarded; the largest body by default.
const MAX_DISCARDED_BYTES: usize = 262_144;

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest body, bytes.
    pub(crate) bytes: usize,
    /// Longest time to completion.
    pub(crate) time: Duration,
}

/// Reason why a body was not received.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It is larger than this number of bytes.
    TooLarge(usize),
    /// It was not complete in time.
    TimedOut,
    /// The byte budget for all bodies is exhausted.
    BudgetExhausted,
    /// The connection or the encoding of the body failed.
    Unreadable(hyper::Error),
}

impl BodyError {
    /// Returns the HTTP status and the cause for the reply.
    pub(crate) fn reply(&self) -> (u16, String) {
        match self {
            Self::TooLarge(limit) => (413, format!("the body is larger than {limit} bytes")),
            Self::TimedOut => (408, "the body was not complete in time".to_owned()),
            Self::BudgetExhausted => (503, "too many incomplete bodies".to_owned()),
            Self::Unreadable(e) => (400, format!("reading the body: {e}")),
        }
    }

    /// Returns whether the connection must be closed after the reply.
    pub(crate) fn closes_connection(&self) -> bool {
        matches!(self, Self::TimedOut | Self::BudgetExhausted)
    }
}

/// Removes the body from the intake when the reader has ended or the connection is closed.
struct IncompleteBody {
    intake: Rc<Intake>,
    key: BodyKey,
}

impl Drop for IncompleteBody {
    fn drop(&mut self) {
        self.intake.end_body(self.key);
    }
}

/// Reads a body. After an error that closes the connection, the rest of the body is discarded for a
/// while.
pub(crate) async fn read(
    intake: &Rc<Intake>,
    mut body: Incoming,
    limits: BodyLimits,
) -> Result<Vec<u8>, BodyError> {
    let result = read_within(intake, &mut body, limits).await;
    if result.as_ref().is_err_and(BodyError::closes_connection) {
        spawn_local(discard(body));
    }
    result
}

async fn read_within(
    intake: &Rc<Intake>,
    body: &mut Incoming,
    limits: BodyLimits,
) -> Result<Vec<u8>, BodyError> {
    let size = body.size_hint();
    if size.lower() > limits.bytes as u64 {
        return Err(BodyError::TooLarge(limits.bytes));
    }
    let declared = size.upper().and_then(|bytes| usize::try_from(bytes).ok());
    let max_bytes = declared.unwrap_or(limits.bytes).min(limits.bytes);
    let (key, evicted) = intake.begin_body();
    let incomplete = IncompleteBody { intake: Rc::clone(intake), key };
    let mut timed_out = pin!(sleep(limits.time));
    loop {
        let frame = tokio::select! {
            biased;
            () = evicted.notified() => return Err(BodyError::BudgetExhausted),
            () = &mut timed_out => return Err(BodyError::TimedOut),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame.transpose().map_err(BodyError::Unreadable)? else { break };
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if intake.body_len(key) + data.len() > limits.bytes {
            return Err(BodyError::TooLarge(limits.bytes));
        }
        if !intake.append(key, &data, max_bytes) {
            return Err(BodyError::BudgetExhausted);
        }
    }
    let bytes = incomplete.intake.end_body(key);
    Ok(bytes)
}

/// Reads the rest of a body and discards it. The connection is closed when this ends.
async fn discard(mut body: Incoming) {
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, |data| data.len());
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The client gets no more time when it goes on sending.
    let _ = timeout(DISCARD_TIME, read).await;
}
