//! Connections that agents and other entries have opened.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use direct::{AgentHello, EntryHello, Report, ToAgent};
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
    peer_links::{self, ConfigHolder, PeerMessage},
};

/// Messages that wait for an agent before its connection is given up.
const OUTBOX: usize = 4_096;
/// Longest time for the first message of a connection.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);

types::wire! {
    /// Tells what a connection is for.
    pub(crate) enum FirstMessage {
        /// It is an agent's.
        Agent(AgentHello),
        /// It is another entry's.
        Peer,
    }
}

/// Takes connections for ever.
pub(crate) async fn accept(listener: TcpListener, state: Rc<EntryState>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Rc::clone(&state);
                spawn_local(async move {
                    if let Err(e) = serve(stream, peer, &state).await {
                        log::debug!("link ended: {e}");
                    }
                });
            }
            Err(e) => {
                log::warn!("accepting a link: {e}");
                tokio::time::sleep(GREETING_TIMEOUT).await;
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
    let Ok(first) = timeout(GREETING_TIMEOUT, rx.next()).await else { return Ok(()) };
    match first? {
        FirstMessage::Agent(hello) => serve_agent(&hello, tx, rx.retype(), state).await,
        FirstMessage::Peer => {
            let holder = Rc::clone(state) as Rc<dyn ConfigHolder>;
            peer_links::exchange(tx.retype::<PeerMessage>(), rx.retype(), &holder).await
        }
    }
}

async fn serve_agent(
    hello: &AgentHello,
    tx: FrameTx<ToAgent>,
    mut rx: FrameRx<Report>,
    state: &Rc<EntryState>,
) -> Result<(), StepError> {
    let (outbox, inbox) = mpsc::channel(OUTBOX);
    let (agent, connection, outstanding) = state.agent_connected(hello, outbox.clone());
    let answer = EntryHello {
        entry: Rc::clone(state).name(),
        incarnation: state.incarnation,
        outstanding,
        entries: state.entries(),
    };
    // The outbox is new and empty.
    let _ = outbox.try_send(ToAgent::Hello(answer));
    drop(outbox);
    let heartbeat = Duration::from_millis(state.timing.heartbeat_ms);
    let writer = spawn_local(write(tx, inbox, heartbeat, Rc::clone(state)));
    let silence = Duration::from_millis(state.timing.silence_ms);
    let result = loop {
        match timeout(silence, rx.next()).await {
            Ok(Ok(report)) => state.agent_reported(agent, connection, report),
            Ok(Err(e)) => break Err(e),
            Err(_) => break Ok(()),
        }
    };
    writer.abort();
    state.agent_gone(agent, connection, result.as_ref().err());
    result
}

async fn write(
    mut tx: FrameTx<ToAgent>,
    mut inbox: mpsc::Receiver<ToAgent>,
    heartbeat: Duration,
    state: Rc<EntryState>,
) -> Result<(), StepError> {
    let mut told = Vec::new();
    loop {
        match timeout(heartbeat, inbox.recv()).await {
            Ok(Some(message)) => tx.feed(&message).await?,
            Ok(None) => return Ok(()),
            Err(_) => {
                let entries = state.entries();
                let is_news = entries != told;
                tx.feed(&ToAgent::Heartbeat(if is_news { entries.clone() } else { Vec::new() }))
                    .await?;
                told = entries;
            }
        }
        while let Ok(message) = inbox.try_recv() {
            tx.feed(&message).await?;
        }
        tx.flush().await?;
    }
}
