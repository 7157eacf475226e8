use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::BoxFuture;
use platform::StoreClient;
use ports::{Log, LogError, LogPage, Offset, StreamName};

/// A client of the log that counts its calls and the bytes that it appends.
pub(crate) struct CountingLog {
    log: StoreClient,
    appends: AtomicU64,
    append_bytes: AtomicU64,
    reads: AtomicU64,
}

impl CountingLog {
    pub(crate) fn new(log: StoreClient) -> Self {
        Self {
            log,
            appends: AtomicU64::new(0),
            append_bytes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        }
    }

    pub(crate) fn appends(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    pub(crate) fn append_bytes(&self) -> u64 {
        self.append_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }
}

impl Log for CountingLog {
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        data: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.append_bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        self.log.append(stream, data)
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: Offset,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<LogPage, LogError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.log.read(stream, from, wait_ms)
    }
}
