//! Links between entries, over which they pass the newest configuration to an entry that
//! cannot reach the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};
use types::StepError;

use crate::{
    frames::{self, FrameRx, FrameTx},
    known_entries::KnownEntries,
};

/// Period in which entries send each other the version of their configuration. A new configuration
/// needs one period for its version and one for the configuration itself, which is well within the
/// platform's limit.
const VERSION_PERIOD: Duration = Duration::from_millis(600);
/// Time without a message after which a connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between attempts to connect.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Consecutive failed attempts after which an address is removed.
const MAX_FAILED_ATTEMPTS: u32 = 30;

types::wire! {
    /// A message between entries.
    pub(crate) enum PeerMessage {
        /// Version of the sender's configuration, sent every [`VERSION_PERIOD`].
        #[serde(rename = "Have")]
        Version {
            /// The version; 0 if the sender has no configuration.
            version: u64,
            /// Addresses of the entries that the sender is connected to, and its own.
            entries: Vec<SocketAddr>,
        },
        /// Requests the configuration.
        #[serde(rename = "Want")]
        RequestConfig,
        /// The configuration, as in the store.
        Config(Vec<u8>),
    }
}

/// What a connection to another entry needs from this entry.
pub(crate) trait PeerHandler {
    /// Returns the version of the configuration in force; 0 if there is none.
    fn config_version(&self) -> u64;
    /// Returns the configuration in force, as in the store.
    fn raw_config(&self) -> Option<Vec<u8>>;
    /// Applies a configuration that a peer has sent, unless the one in force is as new.
    fn on_peer_config(&self, raw: &[u8]);
    /// Returns the addresses of the entries that are connected, and the entry's own.
    fn connected_entries(&self) -> Vec<SocketAddr>;
    /// Adds addresses of entries to those that are dialled.
    fn add_entries(&self, entries: &[SocketAddr]);
    /// Reports that the connection to a peer is established.
    fn on_peer_connected(&self, addr: SocketAddr);
    /// Reports that the connection to a peer has ended; there is no `cause` if it timed out.
    fn on_peer_disconnected(&self, addr: SocketAddr, cause: Option<&StepError>);
}

/// Keeps a connection to another entry open and reconnects when it is lost; returns after
/// [`MAX_FAILED_ATTEMPTS`], when the address is removed from `known_entries`.
pub(crate) async fn dial(
    addr: SocketAddr,
    known_entries: Rc<KnownEntries>,
    handler: Rc<dyn PeerHandler>,
) {
    let mut failures = 0;
    while failures < MAX_FAILED_ATTEMPTS {
        let outcome = async {
            let stream = frames::connect(addr, CONNECT_TIMEOUT).await?;
            let (mut tx, rx) =
                frames::split::<crate::entry::FirstMessage, PeerMessage>(stream, addr)?;
            tx.feed(&crate::entry::FirstMessage::Peer).await?;
            tx.flush().await?;
            known_entries.set_connected(addr, true);
            failures = 0;
            handler.on_peer_connected(addr);
            let result = exchange(tx.retype(), rx, &handler).await;
            handler.on_peer_disconnected(addr, result.as_ref().err());
            result
        };
        let result: Result<(), StepError> = outcome.await;
        if let Err(e) = result {
            log::debug!("link to entry {addr} failed: {e}; reconnecting after {RETRY_PAUSE:?}");
        }
        known_entries.set_connected(addr, false);
        failures += 1;
        sleep(RETRY_PAUSE).await;
    }
    known_entries.remove(addr);
}

/// Exchanges configuration versions with a peer, and configurations where one side's is newer,
/// until the connection ends. Returns `Ok` when the peer was silent for [`SILENCE_TIMEOUT`].
pub(crate) async fn exchange(
    tx: FrameTx<PeerMessage>,
    mut rx: FrameRx<PeerMessage>,
    handler: &Rc<dyn PeerHandler>,
) -> Result<(), StepError> {
    let (outbox, inbox) = tokio::sync::mpsc::channel(4);
    let writer = spawn_local(write(tx, inbox, Rc::clone(handler)));
    let result = loop {
        let message = match timeout(SILENCE_TIMEOUT, rx.next()).await {
            Ok(Ok(message)) => message,
            Ok(Err(e)) => break Err(e),
            Err(_) => break Ok(()),
        };
        match message {
            PeerMessage::Version { version, entries } => {
                handler.add_entries(&entries);
                if version > handler.config_version() {
                    // If the outbox is full, the request follows the peer's next version message.
                    let _ = outbox.try_send(PeerMessage::RequestConfig);
                }
            }
            PeerMessage::RequestConfig => {
                if let Some(raw) = handler.raw_config() {
                    // If the outbox is full, the peer requests the configuration again.
                    let _ = outbox.try_send(PeerMessage::Config(raw));
                }
            }
            PeerMessage::Config(raw) => handler.on_peer_config(&raw),
        }
    };
    writer.abort();
    result
}

async fn write(
    mut tx: FrameTx<PeerMessage>,
    mut inbox: tokio::sync::mpsc::Receiver<PeerMessage>,
    handler: Rc<dyn PeerHandler>,
) -> Result<(), StepError> {
    loop {
        let message = match timeout(VERSION_PERIOD, inbox.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(()),
            Err(_) => PeerMessage::Version {
                version: handler.config_version(),
                entries: handler.connected_entries(),
            },
        };
        tx.feed(&message).await?;
        tx.flush().await?;
    }
}
