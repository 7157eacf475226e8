//! Entries hand each other the newest configuration, for one that the store does not serve.

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

/// Period in which entries tell each other their version. Source: with one period for the word
/// and one for the configuration itself it is in force well within the platform's bound.
const VERSION_PERIOD: Duration = Duration::from_millis(600);
/// Silence after which a connection is replaced.
const SILENCE: Duration = Duration::from_millis(1_800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between attempts to connect.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Failed attempts in a row after which an address is forgotten.
const ATTEMPTS_TO_FORGET: u32 = 30;

types::wire! {
    /// What entries tell each other.
    pub(crate) enum PeerMessage {
        /// The version that the sender has; 0 is none.
        Have {
            /// The version.
            version: u64,
            /// Entries that the sender knows.
            entries: Vec<SocketAddr>,
        },
        /// Asks for the configuration.
        Want,
        /// The configuration as the store has it.
        Config(Vec<u8>),
    }
}

/// What a link needs of the entry.
pub(crate) trait ConfigHolder {
    /// Returns the version in force; 0 is none.
    fn version(&self) -> u64;
    /// Returns the configuration as the store has it.
    fn raw(&self) -> Option<Vec<u8>>;
    /// Takes a configuration; an older one than that in force changes nothing.
    fn adopt(&self, raw: &[u8]);
    /// Entries known, its own address among them.
    fn entries(&self) -> Vec<SocketAddr>;
    /// Learns of entries.
    fn learn(&self, entries: &[SocketAddr]);
    /// Notes that a peer is connected.
    fn peer_connected(&self, addr: SocketAddr);
    /// Notes that the connection of a peer has ended; without a cause it was silent.
    fn peer_lost(&self, addr: SocketAddr, cause: Option<&StepError>);
}

/// Keeps a connection to another entry until it is forgotten.
pub(crate) async fn dial(addr: SocketAddr, known: Rc<KnownEntries>, holder: Rc<dyn ConfigHolder>) {
    let mut failures = 0;
    while failures < ATTEMPTS_TO_FORGET {
        let outcome = async {
            let stream = frames::connect(addr, CONNECT_TIMEOUT).await?;
            let (mut tx, rx) =
                frames::split::<crate::entry::FirstMessage, PeerMessage>(stream, addr)?;
            tx.feed(&crate::entry::FirstMessage::Peer).await?;
            tx.flush().await?;
            known.set_connected(addr, true);
            failures = 0;
            holder.peer_connected(addr);
            let result = exchange(tx.retype(), rx, &holder).await;
            holder.peer_lost(addr, result.as_ref().err());
            result
        };
        let result: Result<(), StepError> = outcome.await;
        if let Err(e) = result {
            log::debug!("link to another entry: {e}");
        }
        known.set_connected(addr, false);
        failures += 1;
        sleep(RETRY_PAUSE).await;
    }
    known.forget(addr);
}

/// Tells the peer what this entry has, and takes what is newer, until the connection ends.
pub(crate) async fn exchange(
    tx: FrameTx<PeerMessage>,
    mut rx: FrameRx<PeerMessage>,
    holder: &Rc<dyn ConfigHolder>,
) -> Result<(), StepError> {
    let (outbox, inbox) = tokio::sync::mpsc::channel(4);
    let writer = spawn_local(write(tx, inbox, Rc::clone(holder)));
    let result = loop {
        let message = match timeout(SILENCE, rx.next()).await {
            Ok(Ok(message)) => message,
            Ok(Err(e)) => break Err(e),
            Err(_) => break Ok(()),
        };
        match message {
            PeerMessage::Have { version, entries } => {
                holder.learn(&entries);
                if version > holder.version() {
                    // A full outbox means that the question is on its way already.
                    let _ = outbox.try_send(PeerMessage::Want);
                }
            }
            PeerMessage::Want => {
                if let Some(raw) = holder.raw() {
                    // The peer asks again if this one does not fit.
                    let _ = outbox.try_send(PeerMessage::Config(raw));
                }
            }
            PeerMessage::Config(raw) => holder.adopt(&raw),
        }
    };
    writer.abort();
    result
}

async fn write(
    mut tx: FrameTx<PeerMessage>,
    mut inbox: tokio::sync::mpsc::Receiver<PeerMessage>,
    holder: Rc<dyn ConfigHolder>,
) -> Result<(), StepError> {
    loop {
        let message = match timeout(VERSION_PERIOD, inbox.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(()),
            Err(_) => PeerMessage::Have { version: holder.version(), entries: holder.entries() },
        };
        tx.feed(&message).await?;
        tx.flush().await?;
    }
}
