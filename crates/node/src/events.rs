//! One JSON line on standard output for each decision: bounded, and never waiting for the reader.

use std::{
    cell::RefCell,
    io::Write,
    rc::Rc,
    sync::mpsc::{SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

use serde_json::{Map, Value};

use crate::clock;

/// Most lines a second. Source: the processor time of a role allows about this many.
const LINES_PER_SECOND: u32 = 1_000;
/// Lines of the budget that only failures and changes of belief may use.
const RESERVED_LINES: u32 = 200;
/// Chunks that wait for a slow reader before lines are dropped.
const CHUNKS_WAITING: usize = 16;

/// Longest time that the end of the process waits for the reader.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writer is handed.
#[derive(Debug)]
enum Chunk {
    Lines(Vec<u8>),
    End(SyncSender<()>),
}

/// Whether a line may be left out before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weight {
    /// A request that went well.
    Routine,
    /// A failure, a refusal or a change of belief.
    Notable,
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
    second: u64,
    lines: u32,
    dropped: u64,
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
                        let _ = out.write_all(&lines).and_then(|()| out.flush());
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
    pub(crate) fn line(&self, weight: Weight, event: &str, fields: &[(&str, Value)]) {
        if self.tx.is_none() {
            return;
        }
        let unix_ms = clock::unix_ms();
        let mut state = self.state.borrow_mut();
        if state.second != unix_ms / 1_000 {
            state.second = unix_ms / 1_000;
            state.lines = 0;
            let dropped = std::mem::take(&mut state.dropped);
            if dropped > 0 {
                self.write(&mut state.buf, unix_ms, "lines_dropped", &[("count", dropped.into())]);
            }
        }
        let limit = match weight {
            Weight::Routine => LINES_PER_SECOND - RESERVED_LINES,
            Weight::Notable => LINES_PER_SECOND,
        };
        if state.lines >= limit {
            state.dropped += 1;
            return;
        }
        state.lines += 1;
        self.write(&mut state.buf, unix_ms, event, fields);
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
            state.dropped +=
                u64::try_from(chunk.iter().filter(|b| **b == b'\n').count()).unwrap_or(0);
        }
    }
}
