//! Links between entries, over which they pass the newest configuration and the evacuated zones to
//! an entry that cannot reach the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use direct::Evacuations;
use tokio::{task::spawn_local, time::timeout};
use types::StepError;

use crate::frames::{self, FrameRx, FrameTx};

/// Period in which entries send each other the version of their configuration. A new configuration
/// needs one period for its version and one for the configuration itself, which is well within the
/// platform's limit.
const VERSION_PERIOD: Duration = Duration::from_millis(600);
/// Time without a message after which a connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

types::wire! {
    /// A message between entries.
    pub(crate) enum PeerMessage {
        /// Version of the sender's configuration, sent every [`VERSION_PERIOD`].
        #[serde(rename = "Have")]
        Version {
            /// The version; 0 if the sender has no configuration.
            version: u64,
            /// Addresses of the entries that the sender knows to be connected, and its own; empty if
            /// they have not changed.
            entries: Vec<SocketAddr>,
            /// The evacuated zones that the sender knows of: two bytes if there have never been any.
            /// They arrive before any configuration on the connection.
            evacuations: Evacuations,
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
    /// Returns the evacuated zones that this entry knows of.
    fn evacuations(&self) -> Evacuations;
    /// Merges the evacuated zones that a peer knows of.
    fn on_peer_evacuations(&self, evacuations: &Evacuations);
    /// Returns the addresses of the entries that are connected, and the entry's own.
    fn connected_entries(&self) -> Vec<SocketAddr>;
    /// Adds addresses of entries to those that are dialled.
    fn add_entries(&self, entries: &[SocketAddr]);
    /// Returns whether an address is still one of the entry's chosen peers.
    fn is_peer_wanted(&self, addr: SocketAddr) -> bool;
    /// Reports that the connection to a peer is established.
    fn on_peer_connected(&self, addr: SocketAddr);
    /// Reports that the connection to a peer has ended; there is no `cause` if it timed out.
    fn on_peer_disconnected(&self, addr: SocketAddr, cause: Option<&StepError>);
}

/// Connects to another entry and exchanges messages until the connection ends or the entry is no
/// longer one of the chosen peers. Returns whether the connection was established.
pub(crate) async fn dial(addr: SocketAddr, handler: Rc<dyn PeerHandler>) -> bool {
    let mut was_connected = false;
    let outcome = async {
        let stream = frames::connect(addr, CONNECT_TIMEOUT).await?;
        let (mut tx, rx) = frames::split::<crate::entry::FirstMessage, PeerMessage>(stream, addr)?;
        tx.feed(&crate::entry::FirstMessage::Peer).await?;
        tx.flush().await?;
        was_connected = true;
        handler.on_peer_connected(addr);
        let result = exchange(tx.retype(), rx, &handler, || handler.is_peer_wanted(addr)).await;
        handler.on_peer_disconnected(addr, result.as_ref().err());
        result
    };
    let result: Result<(), StepError> = outcome.await;
    if let Err(e) = result {
        log::debug!("link to entry {addr} failed: {e}; it is dialled again after a pause");
    }
    was_connected
}

/// Exchanges configuration versions with a peer, and configurations where one side's is newer,
/// until the connection ends or `is_wanted` returns false. Returns `Ok` in the latter case and when
/// the peer was silent for [`SILENCE_TIMEOUT`].
pub(crate) async fn exchange(
    tx: FrameTx<PeerMessage>,
    mut rx: FrameRx<PeerMessage>,
    handler: &Rc<dyn PeerHandler>,
    is_wanted: impl Fn() -> bool,
) -> Result<(), StepError> {
    let (outbox, inbox) = tokio::sync::mpsc::channel(4);
    let writer = spawn_local(write(tx, inbox, Rc::clone(handler)));
    let result = loop {
        if !is_wanted() {
            break Ok(());
        }
        let message = match timeout(SILENCE_TIMEOUT, rx.next()).await {
            Ok(Ok(message)) => message,
            Ok(Err(e)) => break Err(e),
            Err(_) => break Ok(()),
        };
        match message {
            PeerMessage::Version { version, entries, evacuations } => {
                handler.add_entries(&entries);
                handler.on_peer_evacuations(&evacuations);
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
    let mut sent_entries = Vec::new();
    loop {
        let message = match timeout(VERSION_PERIOD, inbox.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(()),
            Err(_) => {
                let known = handler.connected_entries();
                let entries = if known == sent_entries { Vec::new() } else { known.clone() };
                sent_entries = known;
                let version = handler.config_version();
                PeerMessage::Version { version, entries, evacuations: handler.evacuations() }
            }
        };
        tx.feed(&message).await?;
        tx.flush().await?;
    }
}
