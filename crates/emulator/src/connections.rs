use std::sync::Mutex;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Control over the open connections of one server.
#[derive(Debug)]
pub(crate) struct Connections {
    tokens: Mutex<ConnectionTokens>,
    dead: watch::Sender<bool>,
}

/// Tokens shared by the connections that were accepted since the last reset and since
/// connections were last made silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionTokens {
    /// Cancelled when the connections are reset.
    pub(crate) reset: CancellationToken,
    /// Cancelled when the connections become silent.
    pub(crate) silence: CancellationToken,
}

impl Connections {
    pub(crate) fn new() -> Self {
        Self { tokens: Mutex::default(), dead: watch::Sender::new(false) }
    }

    /// Returns the tokens for a connection that is accepted now.
    pub(crate) fn tokens(&self) -> ConnectionTokens {
        self.lock().clone()
    }

    /// Resets every open connection.
    pub(crate) fn reset(&self) {
        let old = std::mem::take(&mut *self.lock());
        old.reset.cancel();
    }

    /// Makes every open connection silent; connections that are accepted later work.
    pub(crate) fn silence(&self) {
        let mut tokens = self.lock();
        let old = std::mem::take(&mut tokens.silence);
        old.cancel();
    }

    /// Makes the server dead or alive: a dead one closes its port, and its open connections are
    /// reset.
    pub(crate) fn set_dead(&self, dead: bool) {
        self.dead.send_replace(dead);
        if dead {
            self.reset();
        }
    }

    /// Returns a receiver that holds whether the server is dead.
    pub(crate) fn dead(&self) -> watch::Receiver<bool> {
        self.dead.subscribe()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConnectionTokens> {
        self.tokens.lock().expect("no holder of the lock panics")
    }
}
