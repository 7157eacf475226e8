//! An in-memory log with scripted faults.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::VecDeque,
    future::pending,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::BoxFuture;
use indexmap::IndexMap;
use journal::{Record, WriterSettings, decode_record};
use ports::{CallBudget, Log, LogError, LogPage, LogRecord, Offset, StreamName};
use serde::de::DeserializeOwned;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use types::{Incarnation, Peer, StepError};

const PAGE_RECORDS: usize = 64;

/// Outcome of one append.  With `Unanswered` it takes effect and the call never returns;
/// with `LateEffect` the answer is lost and it takes effect after a minute.
#[derive(Clone, Copy, Debug)]
pub enum AppendOutcome {
    Answered,
    Refused,
    LostBeforeEffect,
    LostAfterEffect,
    Unanswered,
    LateEffect,
}

/// How reads are answered.
#[derive(Clone, Copy, Debug, Default)]
pub enum ReadOutcome {
    #[default]
    Answered,
    Down,
    WrongStream,
    OffsetGap,
    Empty,
}

#[derive(Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Vec<u8>>,
}

#[derive(Default)]
pub struct State {
    streams: IndexMap<StreamName, Stream>,
    pub script: VecDeque<AppendOutcome>,
    pub read: ReadOutcome,
    pub is_down: bool,
    pub latency: Duration,
    pub appends: u64,
    in_flight: u64,
    pub max_in_flight: u64,
}

#[derive(Clone, Default)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

impl FakeLog {
    pub fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }

    pub fn shared(&self) -> Arc<dyn Log> {
        Arc::new(self.clone())
    }

    /// Removes all records before `oldest`.
    pub fn truncate(&self, stream: &StreamName, oldest: u64) {
        self.with(|state| {
            let stream = &mut state.streams[stream];
            stream.records.drain(..(oldest - stream.oldest) as usize);
            stream.oldest = oldest;
        });
    }

    /// Appends a record with the given bytes.
    pub fn put(&self, stream: &StreamName, data: Vec<u8>) -> Offset {
        let offset = Offset(self.end(stream));
        self.with(|state| {
            state.streams.entry(stream.clone()).or_default().records.push_back(data);
        });
        self.appended.notify_waiters();
        offset
    }

    pub fn end(&self, stream: &StreamName) -> u64 {
        self.with(|state| page(state, stream, Offset::default(), 0).end.0)
    }

    /// Returns all records of a stream, decoded.
    pub fn records<B: DeserializeOwned>(&self, stream: &StreamName) -> Vec<Record<B>> {
        let page = self.with(|state| page(state, stream, Offset::default(), usize::MAX));
        page.records.iter().map(|record| decode_record(stream, record).unwrap()).collect()
    }

    async fn do_append(&self, stream: &StreamName, data: Vec<u8>) -> Result<Offset, LogError> {
        let (outcome, latency) = self.with(|state| {
            state.appends += 1;
            state.in_flight += 1;
            state.max_in_flight = state.max_in_flight.max(state.in_flight);
            let outcome = state.script.pop_front().unwrap_or(AppendOutcome::Answered);
            (if state.is_down { AppendOutcome::LostBeforeEffect } else { outcome }, state.latency)
        });
        sleep(latency).await;
        self.with(|state| state.in_flight -= 1);
        match outcome {
            AppendOutcome::Answered => return Ok(self.put(stream, data)),
            AppendOutcome::Refused => return Err(LogError::Refused(error("refused"))),
            AppendOutcome::LostBeforeEffect => {}
            AppendOutcome::LostAfterEffect => {
                self.put(stream, data);
            }
            AppendOutcome::Unanswered => {
                self.put(stream, data);
                return pending().await;
            }
            AppendOutcome::LateEffect => {
                let (log, stream) = (self.clone(), stream.clone());
                tokio::spawn(async move {
                    sleep(Duration::from_secs(60)).await;
                    log.put(&stream, data);
                });
            }
        }
        Err(LogError::NoAnswer(error("lost")))
    }

    async fn do_read(
        &self,
        stream: &StreamName,
        from: Offset,
        wait_ms: u64,
    ) -> Result<LogPage, LogError> {
        let appended = self.appended.notified();
        if self.end(stream) <= from.0 {
            let _ = timeout(Duration::from_millis(wait_ms), appended).await;
        }
        self.with(|state| {
            let mut page = page(state, stream, from, PAGE_RECORDS);
            match state.read {
                _ if state.is_down => return Err(LogError::NoAnswer(error("down"))),
                ReadOutcome::Down => return Err(LogError::NoAnswer(error("down"))),
                ReadOutcome::WrongStream => page.stream = StreamName::from_text("other"),
                ReadOutcome::OffsetGap => {
                    page.records.iter_mut().skip(1).for_each(|r| r.offset.0 += 1)
                }
                ReadOutcome::Empty => page.records.clear(),
                ReadOutcome::Answered => {}
            }
            Ok(page)
        })
    }
}

fn page(state: &State, name: &StreamName, from: Offset, limit: usize) -> LogPage {
    let empty = Stream::default();
    let stream = state.streams.get(name).unwrap_or(&empty);
    let records = (stream.oldest..).map(Offset).zip(&stream.records);
    let records = records.filter(|(offset, _)| *offset >= from).take(limit);
    LogPage {
        stream: name.clone(),
        oldest: Offset(stream.oldest),
        end: Offset(stream.oldest + stream.records.len() as u64),
        records: records.map(|(offset, data)| LogRecord { offset, data: data.clone() }).collect(),
    }
}

fn error(cause: &str) -> StepError {
    StepError::new("faking", Peer::Local, cause)
}

type LogFuture<'a, T> = BoxFuture<'a, Result<T, LogError>>;

impl Log for FakeLog {
    fn append<'a>(&'a self, stream: &'a StreamName, data: Vec<u8>) -> LogFuture<'a, Offset> {
        Box::pin(self.do_append(stream, data))
    }

    fn read<'a>(&'a self, s: &'a StreamName, from: Offset, wait_ms: u64) -> LogFuture<'a, LogPage> {
        Box::pin(self.do_read(s, from, wait_ms))
    }
}

pub fn stream() -> StreamName {
    StreamName::from_text("jobs.test")
}

pub fn settings(stream: StreamName, writer: u128) -> WriterSettings {
    let budget = CallBudget::new(200.0, 1);
    WriterSettings::new(stream, Incarnation::from_u128(writer), budget).seed(writer as u64)
}
