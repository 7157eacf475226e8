//! Links: connections that agents and other entries open to this entry.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use direct::{AgentHello, EntryMessage, Report, ToAgent};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::spawn_local,
    time::timeout,
};
use types::{Peer, StepError};

use crate::{
    entry::{link_progress::LinkProgress, state::EntryState},
    frames::{self, FrameRx, FrameTx},
    peer_links::{self, PeerHandler, PeerMessage},
};

/// Messages that may be queued for an agent; its connection is closed when there are more.
const OUTBOX_CAPACITY: usize = 4_096;
/// Longest wait for the first message of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);

types::wire! {
    /// First message of a connection, which identifies the sender's role.
    pub(crate) enum FirstMessage {
        /// The sender is an agent.
        Agent(AgentHello),
        /// The sender is another entry.
        Peer,
    }
}

/// Binds the listener for links.
pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(addr).await.map_err(|e| StepError::new("listening", Peer::Address(addr), e))
}

/// Accepts and serves connections, for ever.
pub(crate) async fn accept(listener: TcpListener, state: Rc<EntryState>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Rc::clone(&state);
                spawn_local(async move {
                    if let Err(e) = serve(stream, peer, &state).await {
                        log::debug!(
                            "link from {peer} failed: {e}; waiting for the peer to reconnect"
                        );
                    }
                });
            }
            Err(e) => {
                log::warn!("accepting a link failed: {e}; retrying in {HELLO_TIMEOUT:?}");
                tokio::time::sleep(HELLO_TIMEOUT).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    state: &Rc<EntryState>,
) -> Result<(), StepError> {
    let (tx, mut rx) = frames::split::<EntryMessage, FirstMessage>(stream, peer)?;
    let Ok(first) = timeout(HELLO_TIMEOUT, rx.next()).await else { return Ok(()) };
    match first? {
        FirstMessage::Agent(hello) => serve_agent(&hello, tx, rx.retype(), state).await,
        FirstMessage::Peer => {
            let handler = Rc::clone(state) as Rc<dyn PeerHandler>;
            peer_links::exchange(tx.retype::<PeerMessage>(), rx.retype(), &handler, || true).await
        }
    }
}

async fn serve_agent(
    hello: &AgentHello,
    tx: FrameTx<EntryMessage>,
    mut rx: FrameRx<Report>,
    state: &Rc<EntryState>,
) -> Result<(), StepError> {
    let (outbox, inbox) = mpsc::channel(OUTBOX_CAPACITY);
    let progress = Rc::new(LinkProgress::new(&state.timing));
    let (agent, connection_id) = state.on_agent_connected(hello, outbox, Rc::clone(&progress));
    let read = async {
        loop {
            let report = rx.next().await?;
            progress.record_report();
            state.on_agent_report(agent, connection_id, report);
        }
    };
    // The writer ends when the state drops the outbox: the agent was silent or has a new connection.
    let result = tokio::select! {
        result = read => result,
        result = write(tx, inbox, &progress, state) => result,
    };
    state.on_agent_disconnected(agent, connection_id, result.as_ref().err());
    result
}

async fn write(
    mut tx: FrameTx<EntryMessage>,
    mut inbox: mpsc::Receiver<EntryMessage>,
    progress: &LinkProgress,
    state: &EntryState,
) -> Result<(), StepError> {
    let mut sent_entries = Vec::new();
    loop {
        let queued = tokio::select! {
            biased;
            queued = inbox.recv() => Some(queued),
            () = progress.heartbeat_due() => None,
        };
        match queued {
            Some(Some(message)) => {
                if let ToAgent::SetActive(is_active) = message.message {
                    progress.set_active(is_active);
                }
                tx.feed(&message).await?;
            }
            Some(None) => return Ok(()),
            None => {
                let entries = state.connected_entries();
                let news = if entries == sent_entries { Vec::new() } else { entries.clone() };
                tx.feed(&progress.message(ToAgent::Heartbeat(news))).await?;
                sent_entries = entries;
            }
        }
        progress.record_sent();
        if inbox.is_empty() {
            tx.flush().await?;
        }
    }
}
