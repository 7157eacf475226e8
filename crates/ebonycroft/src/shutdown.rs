//! Graceful shutdown: the first SIGINT or SIGTERM starts a drain, a second one ends it early.

use std::future::Future;

use tokio::signal::unix::{Signal, SignalKind, signal};
use types::{Peer, StepError};

struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn listen() -> Result<Self, StepError> {
        let listen = |kind| {
            signal(kind).map_err(|e| StepError::new("listening for signals", Peer::Local, e))
        };
        Ok(Self {
            interrupt: listen(SignalKind::interrupt())?,
            terminate: listen(SignalKind::terminate())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Waits for a signal or for `stopped`. After a signal, runs `drain` until it completes or a
/// second signal arrives; when `stopped` completes first, returns at once. Fails only when the
/// signal handlers cannot be installed.
pub(crate) async fn serve_until_stopped(
    stopped: impl Future<Output = ()>,
    drain: impl Future<Output = ()>,
) -> Result<(), StepError> {
    let mut signals = Signals::listen()?;
    tokio::select! {
        () = signals.next() => {}
        () = stopped => {
            log::info!("stopped after a drain");
            return Ok(());
        }
    }
    log::info!("stopping; requests in progress are finished first");
    tokio::select! {
        () = drain => log::info!("stopped"),
        () = signals.next() => log::warn!("stopped before requests in progress were finished"),
    }
    Ok(())
}
