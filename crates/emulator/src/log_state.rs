use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    http::StatusCode,
    response::{IntoResponse, Response},
};
use ports::{LogRecord, Offset, StreamName};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    FaultControl, LogFaults, LogSettings,
    call_window::CallWindow,
    log_store::{Content, LogStore, Retention},
    reply,
};

/// Longest time for which a read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// Result of a read: the records, and the oldest and next offset of the stream.
#[derive(Debug)]
pub(crate) struct Page {
    pub(crate) oldest: u64,
    pub(crate) end: u64,
    pub(crate) records: Vec<Vec<u8>>,
}

/// State of one log server that its request handlers share: records, rate limits and faults.
#[derive(Debug)]
pub(crate) struct LogState {
    settings: LogSettings,
    faults: FaultControl<LogFaults>,
    store: Mutex<LogStore>,
    append_window: Mutex<CallWindow>,
    read_window: Mutex<CallWindow>,
    appends: AtomicU64,
    appended: watch::Sender<()>,
}

impl LogState {
    pub(crate) fn new(settings: LogSettings, faults: FaultControl<LogFaults>) -> Self {
        Self {
            settings,
            faults,
            store: Mutex::default(),
            append_window: Mutex::new(CallWindow::new(Instant::now())),
            read_window: Mutex::new(CallWindow::new(Instant::now())),
            appends: AtomicU64::new(0),
            appended: watch::Sender::new(()),
        }
    }

    pub(crate) fn faults(&self) -> &FaultControl<LogFaults> {
        &self.faults
    }

    pub(crate) fn records(&self, stream: &StreamName) -> Vec<LogRecord> {
        let retention = self.retention();
        self.store().stream(stream, retention, Instant::now()).records(Offset(0), usize::MAX)
    }

    pub(crate) fn appends(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    /// Appends a record. The error is the response of a log that refuses the append or leaves its
    /// outcome unknown.
    pub(crate) async fn append(
        &self,
        stream: &StreamName,
        content: Content,
    ) -> Result<Offset, Response> {
        self.apply_faults().await?;
        let limit =
            self.faults.get().appends_per_second.unwrap_or(self.settings.appends_per_second);
        if !try_acquire(&self.append_window, limit) {
            return Err(rate_limited());
        }
        sleep(Duration::from_millis(self.settings.append_latency_ms)).await;
        if self.faults.update_if(|f| reply::count_down(&mut f.lose_before_effect)) {
            return Err(reply::lost());
        }
        let offset = self.store_record(stream, content);
        if self.faults.update_if(|f| reply::count_down(&mut f.lose_after_effect)) {
            return Err(reply::lost());
        }
        if self.faults.get().lose_answers {
            return Err(reply::silent().await);
        }
        if self.faults.get().garbage_answers {
            return Err("{}".into_response());
        }
        Ok(offset)
    }

    /// Reads a page from an offset on, waiting up to `wait_ms` for a record. The error is the
    /// response of a log that refuses the read or sends garbage.
    pub(crate) async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        wait_ms: u64,
    ) -> Result<Page, Response> {
        self.start_read().await?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms).min(MAX_READ_WAIT);
        let mut appended = self.appended.subscribe();
        let mut page = self.page(stream, from);
        while page.end <= from && page.oldest <= from {
            if timeout_at(deadline, appended.changed()).await.is_err() {
                break;
            }
            page = self.page(stream, from);
        }
        self.hang_if_silent().await;
        if !page.records.is_empty()
            && self.faults.update_if(|f| reply::count_down(&mut f.garbage_records))
        {
            page.records[0].fill(0xff);
        }
        if self.faults.get().garbage_answers {
            return Err("{}".into_response());
        }
        Ok(page)
    }

    /// Returns the newest value of each key, as key, value and offset, and the end of the stream.
    pub(crate) async fn newest(
        &self,
        stream: &StreamName,
    ) -> Result<(Vec<(Vec<u8>, Vec<u8>, u64)>, u64), Response> {
        self.start_read().await?;
        let retention = self.retention();
        let mut store = self.store();
        let retained = store.stream(stream, retention, Instant::now());
        Ok((retained.newest(), retained.end().0))
    }

    pub(crate) fn discard_history(&self) {
        self.store().discard_history();
        self.appended.send_replace(());
    }

    pub(crate) fn store_record(&self, stream: &StreamName, content: Content) -> Offset {
        let offset = self.store().append(stream, content, Instant::now());
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.appended.send_replace(());
        offset
    }

    async fn start_read(&self) -> Result<(), Response> {
        self.apply_faults().await?;
        if !try_acquire(&self.read_window, self.settings.reads_per_second) {
            return Err(rate_limited());
        }
        Ok(())
    }

    /// Delays, hangs or refuses an operation as the current faults require.
    async fn apply_faults(&self) -> Result<(), Response> {
        let slow_ms = self.faults.get().slow_ms;
        sleep(Duration::from_millis(slow_ms)).await;
        self.hang_if_silent().await;
        if self.faults.get().down {
            return Err(reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "log is down"));
        }
        Ok(())
    }

    async fn hang_if_silent(&self) {
        if self.faults.get().silent {
            reply::silent().await;
        }
    }

    fn page(&self, stream: &StreamName, from: u64) -> Page {
        let retention = self.retention();
        let mut store = self.store();
        let retained = store.stream(stream, retention, Instant::now());
        let is_retained = retained.oldest().0 <= from;
        let limit = if is_retained { self.settings.page_records } else { 0 };
        Page {
            oldest: retained.oldest().0,
            end: retained.end().0,
            records: retained.records(Offset(from), limit).into_iter().map(|r| r.data).collect(),
        }
    }

    fn retention(&self) -> Retention {
        let faults = self.faults.get();
        Retention {
            records: faults.keep_records.or(self.settings.keep_records),
            age: faults.keep_ms.or(self.settings.keep_ms).map(Duration::from_millis),
        }
    }

    fn store(&self) -> MutexGuard<'_, LogStore> {
        self.store.lock().expect("no holder of the lock panics")
    }
}

fn try_acquire(window: &Mutex<CallWindow>, limit: u32) -> bool {
    window.lock().expect("no holder of the lock panics").try_acquire(Instant::now(), limit)
}

fn rate_limited() -> Response {
    reply::not_run(StatusCode::TOO_MANY_REQUESTS, "too many calls a second")
}
