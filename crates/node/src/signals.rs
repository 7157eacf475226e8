use tokio::signal::unix::{SignalKind, signal};
use types::{Peer, StepError};

/// Waits until the process is told to stop. A hangup says that settings have changed; none of them
/// is in use before the next start.
///
/// # Errors
///
/// When signals cannot be listened for.
pub async fn stop_signal() -> Result<(), StepError> {
    let fail = |e| StepError::new("listening for signals", Peer::Local, e);
    let mut terminate = signal(SignalKind::terminate()).map_err(fail)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fail)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(fail)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("hangup: settings are read at the next start"),
        }
    }
}
