//! Links: connections that agents and other entries open to this entry.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use direct::{AgentHello, Report, ToAgent};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::spawn_local,
    time::timeout,
};
use types::StepError;

use crate::{
    entry::state::EntryState,
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
    let (tx, mut rx) = frames::split::<ToAgent, FirstMessage>(stream, peer)?;
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
    tx: FrameTx<ToAgent>,
    mut rx: FrameRx<Report>,
    state: &Rc<EntryState>,
) -> Result<(), StepError> {
    let (outbox, inbox) = mpsc::channel(OUTBOX_CAPACITY);
    let (agent, connection_id) = state.on_agent_connected(hello, outbox);
    let read = async {
        loop {
            let report = rx.next().await?;
            state.on_agent_report(agent, connection_id, report);
        }
    };
    // The writer ends when the state drops the outbox: the agent was silent or has a new connection.
    let result = tokio::select! {
        result = read => result,
        result = write(tx, inbox, state) => result,
    };
    state.on_agent_disconnected(agent, connection_id, result.as_ref().err());
    result
}

async fn write(
    mut tx: FrameTx<ToAgent>,
    mut inbox: mpsc::Receiver<ToAgent>,
    state: &EntryState,
) -> Result<(), StepError> {
    let standby_heartbeat = Duration::from_millis(state.timing.standby_heartbeat_ms);
    let mut heartbeat = standby_heartbeat;
    let mut sent_entries = Vec::new();
    loop {
        match timeout(heartbeat, inbox.recv()).await {
            Ok(Some(message)) => {
                if let ToAgent::SetActive(is_active) = message {
                    let active = Duration::from_millis(state.timing.heartbeat_ms);
                    heartbeat = if is_active { active } else { standby_heartbeat };
                }
                tx.feed(&message).await?;
            }
            Ok(None) => return Ok(()),
            Err(_) => {
                let entries = state.connected_entries();
                let has_changed = entries != sent_entries;
                tx.feed(&ToAgent::Heartbeat(if has_changed {
                    entries.clone()
                } else {
                    Vec::new()
                }))
                .await?;
                sent_entries = entries;
            }
        }
        if inbox.is_empty() {
            tx.flush().await?;
        }
    }
}
