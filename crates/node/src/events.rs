//! One JSON line on standard output for each decision: bounded, and never waiting for the reader.

use std::{
    cell::RefCell,
    io::Write,
    rc::Rc,
    sync::mpsc::{SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

use serde_json::{Map, Value, json};

pub(crate) use crate::line_budget::Level;
use crate::{clock, line_budget::LineBudget, whole_lines};

/// Chunks that wait for a slow reader before lines are dropped.
const CHUNKS_WAITING: usize = 16;

/// Name under which lines are counted that a slow reader has cost.
const UNREAD: &str = "unread";
/// Longest time that the end of the process waits for the reader.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writer is handed.
#[derive(Debug)]
enum Chunk {
    Lines(Vec<u8>),
    End(SyncSender<()>),
}

/// The process's log of decisions.
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
    /// Starts the writer.
    pub(crate) fn start(process: &str, is_written: bool) -> Rc<Self> {
        let (tx, rx) = sync_channel(CHUNKS_WAITING);
        if !is_written {
            let process = process.to_owned();
            return Rc::new(Self { process, state: RefCell::default(), tx: None });
        }
        thread::spawn(move || {
            let mut out = std::io::stdout();
            while let Ok(chunk) = rx.recv() {
                match chunk {
                    // A reader that has gone must not end the process; there is nowhere to say so.
                    Chunk::Lines(lines) => {
                        for write in whole_lines::writes(&lines) {
                            let _ = out.write_all(write).and_then(|()| out.flush());
                        }
                    }
                    Chunk::End(done) => {
                        // The process does not wait any more.
                        let _ = done.try_send(());
                        return;
                    }
                }
            }
        });
        Rc::new(Self { process: process.to_owned(), state: RefCell::default(), tx: Some(tx) })
    }

    /// Writes what is left and waits for the writer, but not for a reader that does not read.
    pub(crate) fn close(&self) {
        self.flush();
        let (done_tx, done_rx) = sync_channel(1);
        if self.tx.as_ref().is_some_and(|tx| tx.try_send(Chunk::End(done_tx)).is_ok()) {
            // A reader that is stuck costs the lines that it has not read.
            let _ = done_rx.recv_timeout(CLOSE_TIMEOUT);
        }
    }

    /// Adds a line: what was decided, and on what.
    pub(crate) fn line(&self, level: Level, event: &'static str, fields: &[(&str, Value)]) {
        if self.tx.is_none() {
            return;
        }
        let unix_ms = clock::unix_ms();
        let State { buf, budget } = &mut *self.state.borrow_mut();
        let dropped = budget.begin(unix_ms);
        if !dropped.is_empty() {
            self.write(buf, unix_ms, "lines_dropped", &[("count", json!(dropped))]);
        }
        if budget.allows(level, event) {
            let length = buf.len();
            self.write(buf, unix_ms, event, fields);
            budget.written(buf.len() - length);
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

    /// Hands the lines to the writer; drops them when it is behind.
    pub(crate) fn flush(&self) {
        let Some(tx) = &self.tx else { return };
        let mut state = self.state.borrow_mut();
        if state.buf.is_empty() {
            return;
        }
        let chunk = std::mem::take(&mut state.buf);
        if let Err(TrySendError::Full(Chunk::Lines(chunk))) = tx.try_send(Chunk::Lines(chunk)) {
            let lines = chunk.iter().filter(|b| **b == b'\n').count() as u64;
            state.budget.left_out(UNREAD, lines);
        }
    }
}
