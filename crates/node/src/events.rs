//! Decision log: one JSON line on standard output for each decision. The output rate is bounded,
//! and a slow reader costs lines but never delays the process.

use std::{
    cell::RefCell,
    io::Write,
    rc::Rc,
    sync::mpsc::{SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

use direct::UnsettledAttempts;
use serde_json::{Map, Value, json};

pub(crate) use crate::line_budget::Level;
use crate::{clock, line_budget::LineBudget, pipe_writes};

/// Chunks that may wait for a slow reader; further ones are dropped.
const MAX_QUEUED_CHUNKS: usize = 16;
/// Name under which the lines are counted that were dropped because of a slow reader.
const UNREAD: &str = "unread";
/// Longest time for which the shutdown of the process waits for the reader.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Message to the writer thread.
#[derive(Debug)]
enum Chunk {
    Lines(Vec<u8>),
    /// Makes the writer stop and confirm it.
    Close(SyncSender<()>),
}

/// Returns the fields about the attempts in the handshake of an entry, if there are any.
pub(crate) fn unsettled_fields(attempts: &UnsettledAttempts) -> Vec<(&'static str, Value)> {
    let lists = [("wanted", &attempts.wanted), ("stopping", &attempts.stopping)];
    let with_attempts = lists.into_iter().filter(|(_, ids)| !ids.is_empty());
    with_attempts
        .map(|(name, ids)| (name, json!(ids.iter().map(|id| id.0).collect::<Vec<_>>())))
        .collect()
}

/// The decision log of a process.
#[derive(Debug)]
pub(crate) struct Events {
    process: String,
    state: RefCell<State>,
    tx: Option<SyncSender<Chunk>>,
}

#[derive(Debug, Default)]
struct State {
    buf: Vec<u8>,
    budget: LineBudget,
}

impl Events {
    /// Starts the log. Unless `is_enabled`, nothing is written and there is no writer thread.
    pub(crate) fn start(process: &str, is_enabled: bool) -> Rc<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_CHUNKS);
        if !is_enabled {
            let process = process.to_owned();
            return Rc::new(Self { process, state: RefCell::default(), tx: None });
        }
        thread::spawn(move || {
            let mut out = std::io::stdout();
            while let Ok(chunk) = rx.recv() {
                match chunk {
                    // The process goes on when the reader has closed the pipe; there is no other
                    // place to report it.
                    Chunk::Lines(lines) => {
                        for write in pipe_writes::split_into_writes(&lines) {
                            let _ = out.write_all(write).and_then(|()| out.flush());
                        }
                    }
                    Chunk::Close(done) => {
                        // Fails when `close` no longer waits.
                        let _ = done.try_send(());
                        return;
                    }
                }
            }
        });
        Rc::new(Self { process: process.to_owned(), state: RefCell::default(), tx: Some(tx) })
    }

    /// Writes the remaining lines and waits for the writer, at most [`CLOSE_TIMEOUT`].
    pub(crate) fn close(&self) {
        self.flush();
        let (done_tx, done_rx) = sync_channel(1);
        if self.tx.as_ref().is_some_and(|tx| tx.try_send(Chunk::Close(done_tx)).is_ok()) {
            // When the reader does not read in time, the unread lines are lost.
            let _ = done_rx.recv_timeout(CLOSE_TIMEOUT);
        }
    }

    /// Adds a line with the decision's name and the facts on which it was made.
    pub(crate) fn emit(&self, level: Level, event: &'static str, fields: &[(&str, Value)]) {
        if self.tx.is_none() {
            return;
        }
        let unix_ms = clock::unix_ms();
        let State { buf, budget } = &mut *self.state.borrow_mut();
        let dropped = budget.start_second(unix_ms);
        if !dropped.is_empty() {
            self.write(buf, unix_ms, "lines_dropped", &[("count", json!(dropped))]);
        }
        if budget.admit(level, event) {
            let previous_len = buf.len();
            self.write(buf, unix_ms, event, fields);
            budget.record_bytes(buf.len() - previous_len);
        }
    }

    fn write(&self, buf: &mut Vec<u8>, unix_ms: u64, event: &str, fields: &[(&str, Value)]) {
        let mut object = Map::new();
        object.insert("at_ms".into(), unix_ms.into());
        object.insert("process".into(), self.process.as_str().into());
        object.insert("event".into(), event.into());
        object.extend(fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(&mut *buf, &object);
        buf.push(b'\n');
    }

    /// Sends the lines to the writer; drops them when its queue is full.
    pub(crate) fn flush(&self) {
        if let Some(chunk) = self.send_lines() {
            let lines = chunk.iter().filter(|b| **b == b'\n').count() as u64;
            self.state.borrow_mut().budget.record_dropped(UNREAD, lines);
        }
    }

    /// Sends the lines to the writer before the next [`Events::flush`], for rare ones that must
    /// outlast a process which is killed now. When the writer's queue is full, they stay for that.
    pub(crate) fn flush_early(&self) {
        if let Some(chunk) = self.send_lines() {
            self.state.borrow_mut().buf = chunk;
        }
    }

    /// Sends the lines to the writer; returns them when its queue is full.
    fn send_lines(&self) -> Option<Vec<u8>> {
        let tx = self.tx.as_ref()?;
        let chunk = std::mem::take(&mut self.state.borrow_mut().buf);
        if chunk.is_empty() {
            return None;
        }
        match tx.try_send(Chunk::Lines(chunk)) {
            Err(TrySendError::Full(Chunk::Lines(chunk))) => Some(chunk),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
