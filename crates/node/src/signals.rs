use tokio::signal::unix::{SignalKind, signal};
use types::{Peer, StepError};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn stop_signal() -> Result<(), StepError> {
    let fail = |e| StepError::new("listening for signals", Peer::Local, e);
    let mut terminate = signal(SignalKind::terminate()).map_err(fail)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fail)?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
