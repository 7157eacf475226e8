//! Links: connections that the agent opens to entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use direct::{EntryMessage, Report, SessionKey, ToAgent};
use rand::RngExt;
use tokio::{
    net::TcpStream,
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};
use types::StepError;

use crate::{
    agent::state::AgentState,
    clock,
    entry::FirstMessage,
    frames::{self, FrameRx, FrameTx},
};

/// Timeout of most attempts to connect. It is short, because an attempt that begins while the host
/// has no power is not answered when the host is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of every fourth attempt, for a host whose network is slow.
const LONG_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const ATTEMPTS_PER_LONG_ONE: u32 = 4;
/// Pause between attempts to connect while few entries are unreachable, milliseconds.
const MIN_PAUSE_MS: u64 = 50;
/// Number of unreachable entries from which the pauses are longer, so that the attempts of an agent
/// do not become more frequent.
const ENTRIES_PER_MIN_PAUSE: u64 = 8;
/// Failed attempts after which an entry is no longer expected back soon, and the pause then,
/// milliseconds.
const SOON_ATTEMPTS: u32 = 40;
const LONG_PAUSE_MS: u64 = 400;
/// Failed attempts after which an entry is probably cut off or gone for good, and the pause then,
/// milliseconds.
const RARE_ATTEMPTS: u32 = 120;
const RARE_PAUSE_MS: u64 = 2_000;
/// Consecutive failed attempts after which an address is removed, after half an hour at least:
/// nothing tells an agent that was cut off the addresses of before again.
const MAX_FAILED_ATTEMPTS: u32 = 2_000;

/// Keeps a connection to an entry open and reconnects when it is lost; returns after
/// [`MAX_FAILED_ATTEMPTS`], when the address is removed from the known entries.
pub(crate) async fn dial(addr: SocketAddr, state: Rc<AgentState>) {
    let mut failures = 0;
    let mut last_session = None;
    while failures < MAX_FAILED_ATTEMPTS {
        let is_long = failures % ATTEMPTS_PER_LONG_ONE == ATTEMPTS_PER_LONG_ONE - 1;
        let connect_timeout = if is_long { LONG_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        let mut session = None;
        let result = match frames::connect(addr, connect_timeout).await {
            Ok(stream) => serve(stream, addr, &state, &mut session).await,
            Err(e) => {
                if e.is_refused {
                    state.known_entries.set_absent(addr);
                    last_session.take().into_iter().for_each(|key| state.on_entry_gone(key));
                }
                Err(e.into())
            }
        };
        if let Err(e) = result {
            log::debug!("link to entry {addr} failed: {e}; reconnecting");
        }
        state.known_entries.set_connected(addr, false);
        if session.is_some() {
            last_session = session;
            failures = 0;
        }
        failures += 1;
        if failures >= RARE_ATTEMPTS {
            state.known_entries.set_absent(addr);
        }
        let pause_ms = pause_ms(failures, state.known_entries.unconnected());
        let jittered_ms = rand::rng().random_range(pause_ms / 2..=pause_ms);
        sleep(Duration::from_millis(jittered_ms)).await;
    }
    state.known_entries.remove(addr);
}

/// Returns the pause after a failed attempt to connect to one of `unconnected` entries.
fn pause_ms(failures: u32, unconnected: usize) -> u64 {
    if failures >= RARE_ATTEMPTS {
        return RARE_PAUSE_MS;
    }
    if failures >= SOON_ATTEMPTS {
        return LONG_PAUSE_MS;
    }
    let unconnected = u64::try_from(unconnected).unwrap_or(u64::MAX);
    MIN_PAUSE_MS * (unconnected / ENTRIES_PER_MIN_PAUSE).clamp(1, LONG_PAUSE_MS / MIN_PAUSE_MS)
}

/// Exchanges messages over one connection until it ends, and sets `session` after the handshake.
/// Returns `Ok` when the entry was silent for too long, a start was held up for too long or the
/// process was suspended.
async fn serve(
    stream: TcpStream,
    addr: SocketAddr,
    state: &Rc<AgentState>,
    session: &mut Option<SessionKey>,
) -> Result<(), StepError> {
    let (mut tx, rx) = frames::split::<FirstMessage, EntryMessage>(stream, addr)?;
    let hello_ms = clock::now_ms();
    state.note_unconnected();
    tx.feed(&FirstMessage::Agent(state.hello())).await?;
    tx.flush().await?;
    let mut rx: FrameRx<EntryMessage> = rx;
    let silence_timeout = Duration::from_millis(state.timing.silence_ms);
    let Ok(first) = timeout(silence_timeout, rx.next()).await else { return Ok(()) };
    let ToAgent::Hello(hello) = first?.message else { return Ok(()) };
    state.known_entries.set_connected(addr, true);
    state.known_entries.add_all(&hello.entries);
    let suspensions = state.suspension_count();
    let (key, wake) = state.on_entry_connected(&hello, hello_ms);
    *session = Some(key);
    let writer = spawn_local(write(tx.retype(), key, Rc::clone(&wake), Rc::clone(state)));
    let standby_silence = Duration::from_millis(state.timing.standby_silence_ms);
    let mut is_active = false;
    let result = loop {
        let silence_timeout = if is_active { silence_timeout } else { standby_silence };
        match timeout(silence_timeout, rx.next()).await {
            // A message that arrived during a suspension may be as old as the suspension was long.
            _ if state.suspension_count() != suspensions => break Ok(()),
            Ok(Ok(EntryMessage { reports_read, message })) => {
                if let ToAgent::SetActive(value) = message {
                    is_active = value;
                }
                // A new connection does without what else is held up on this one.
                if !state.on_entry_message(key, reports_read, message) {
                    break Ok(());
                }
            }
            Ok(Err(e)) => break Err(e),
            Err(_) => break Ok(()),
        }
    };
    writer.abort();
    state.on_entry_disconnected(key, &wake, result.as_ref().err());
    result
}

async fn write(
    mut tx: FrameTx<Report>,
    key: SessionKey,
    wake: Rc<Notify>,
    state: Rc<AgentState>,
) -> Result<(), StepError> {
    let mut sent_upstream = None;
    loop {
        if let Some(report) = state.next_report(key, &mut sent_upstream) {
            tx.feed(&report).await?;
            tx.flush().await?;
        }
        // Without a change, the report serves as a heartbeat.
        let _ = timeout(state.heartbeat(key), wake.notified()).await;
    }
}

#[cfg(test)]
mod tests;
