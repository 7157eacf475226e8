use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use metrics::{counter, gauge, histogram};
use ports::Offset;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    WriterSettings, WriterState,
    backlog::{Backlog, Batch, Pending},
    stream_label::stream_label,
};

/// What the handles of a writer and its task share.
#[derive(Debug)]
pub(crate) struct WriterShared {
    pub(crate) settings: WriterSettings,
    inner: Mutex<Inner>,
    wake: Notify,
    durable: watch::Sender<u64>,
    available: watch::Sender<bool>,
    known_offset: AtomicU64,
}

#[derive(Debug, Default)]
struct Inner {
    backlog: Backlog,
    taken: u64,
    committed_at: Option<Instant>,
    is_closed: bool,
}

/// What the task does next.
pub(crate) enum Work {
    Append(Batch),
    Wait,
    Stop,
}

impl WriterShared {
    pub(crate) fn new(settings: WriterSettings) -> Self {
        Self {
            known_offset: AtomicU64::new(settings.known_offset.0),
            settings,
            inner: Mutex::default(),
            wake: Notify::new(),
            durable: watch::channel(0).0,
            available: watch::channel(true).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report_backlog(&self, backlog: &Backlog) {
        let label = stream_label(&self.settings.stream);
        gauge!("journal_backlog_bytes", "stream" => label).set(backlog.bytes() as f64);
    }

    pub(crate) fn push(&self, pending: Pending) -> Result<(), Pending> {
        let mut inner = self.lock();
        let pushed = inner.backlog.push(pending, self.settings.max_backlog_bytes);
        if pushed.is_err() {
            let label = stream_label(&self.settings.stream);
            counter!("journal_refused_total", "stream" => label).increment(1);
            return pushed;
        }
        inner.taken += 1;
        self.report_backlog(&inner.backlog);
        drop(inner);
        self.wake.notify_one();
        pushed
    }

    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.wake.notify_one();
    }

    pub(crate) async fn woken(&self) {
        self.wake.notified().await;
    }

    pub(crate) fn is_idle(&self) -> bool {
        let inner = self.lock();
        inner.backlog.bodies() == 0 && !inner.is_closed
    }

    pub(crate) fn next_work(&self) -> Work {
        let mut inner = self.lock();
        match inner.backlog.take(self.settings.max_record_bytes) {
            Some(batch) => Work::Append(batch),
            None if inner.is_closed => Work::Stop,
            None => Work::Wait,
        }
    }

    pub(crate) fn complete(&self, batch: Batch, offset: Offset) {
        let mut inner = self.lock();
        if let Some(oldest) = inner.backlog.oldest() {
            let label = stream_label(&self.settings.stream);
            let elapsed = oldest.elapsed();
            histogram!("journal_commit_seconds", "stream" => label).record(elapsed.as_secs_f64());
        }
        inner.backlog.complete(&batch);
        inner.committed_at = Some(Instant::now());
        self.report_backlog(&inner.backlog);
        drop(inner);
        self.observe_offset(offset.next());
        let count = batch.bodies.len() as u64;
        self.durable.send_modify(|durable| *durable += count);
        batch.bodies.into_iter().filter_map(|pending| pending.tx).for_each(|tx| {
            // A caller that has stopped waiting needs no answer.
            let _ = tx.send(offset);
        });
    }

    pub(crate) async fn flushed(&self) -> Result<(), watch::error::RecvError> {
        let taken = self.lock().taken;
        self.durable.subscribe().wait_for(|durable| *durable >= taken).await.map(drop)
    }

    pub(crate) fn known_offset(&self) -> Offset {
        Offset(self.known_offset.load(Ordering::Relaxed))
    }

    pub(crate) fn observe_offset(&self, offset: Offset) {
        self.known_offset.fetch_max(offset.0, Ordering::Relaxed);
    }

    pub(crate) fn availability(&self) -> watch::Receiver<bool> {
        self.available.subscribe()
    }

    /// Returns whether this changes the state.
    pub(crate) fn set_available(&self, is_available: bool) -> bool {
        self.available.send_if_modified(|current| {
            let is_change = *current != is_available;
            *current = is_available;
            is_change
        })
    }

    pub(crate) fn state(&self) -> WriterState {
        let inner = self.lock();
        WriterState {
            backlog_bytes: inner.backlog.bytes(),
            backlog_bodies: inner.backlog.bodies(),
            oldest_unflushed: inner.backlog.oldest().map(|oldest| oldest.elapsed()),
            since_committed: inner.committed_at.map(|at| at.elapsed()),
            is_available: *self.available.borrow(),
        }
    }
}
