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
    backlog::{Backlog, Batch, PendingBody},
    stream_label::stream_label,
};

/// State that the handles of a writer share with its task.
#[derive(Debug)]
pub(crate) struct WriterShared {
    pub(crate) settings: WriterSettings,
    inner: Mutex<Inner>,
    wake: Notify,
    /// Number of bodies that have become durable.
    durable_bodies: watch::Sender<u64>,
    available: watch::Sender<bool>,
    known_offset: AtomicU64,
}

#[derive(Debug, Default)]
struct Inner {
    backlog: Backlog,
    /// Number of bodies that were accepted.
    accepted_bodies: u64,
    committed_at: Option<Instant>,
    is_closed: bool,
}

/// Next action of the task.
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
            durable_bodies: watch::channel(0).0,
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

    pub(crate) fn push(&self, pending: PendingBody) -> Result<(), PendingBody> {
        let mut inner = self.lock();
        let pushed = inner.backlog.push(pending, self.settings.max_backlog_bytes);
        if pushed.is_err() {
            let label = stream_label(&self.settings.stream);
            counter!("journal_refused_total", "stream" => label).increment(1);
            return pushed;
        }
        inner.accepted_bodies += 1;
        self.report_backlog(&inner.backlog);
        drop(inner);
        self.wake.notify_one();
        pushed
    }

    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.wake.notify_one();
    }

    pub(crate) async fn wait_for_work(&self) {
        self.wake.notified().await;
    }

    pub(crate) fn is_idle(&self) -> bool {
        let inner = self.lock();
        inner.backlog.bodies() == 0 && !inner.is_closed
    }

    pub(crate) fn next_work(&self) -> Work {
        let mut inner = self.lock();
        match inner.backlog.take_batch(self.settings.max_record_bytes) {
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
        self.durable_bodies.send_modify(|durable| *durable += count);
        batch.bodies.into_iter().filter_map(|pending| pending.tx).for_each(|tx| {
            // The receiver is closed if the caller has stopped waiting.
            let _ = tx.send(offset);
        });
    }

    pub(crate) async fn wait_until_durable(&self) -> Result<(), watch::error::RecvError> {
        let accepted = self.lock().accepted_bodies;
        self.durable_bodies.subscribe().wait_for(|durable| *durable >= accepted).await.map(drop)
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

    /// Sets whether appends succeed, and returns whether that is a change.
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
