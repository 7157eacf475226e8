use std::sync::Arc;

use log::{info, warn};
use metrics::counter;
use ports::{Log, LogError, LogPage, Offset};
use tokio::time::timeout;
use types::{Peer, StepError};

use crate::{
    backlog::Batch,
    backoff::Backoff,
    codec::{encode_record, is_record_of},
    page_check::check_page,
    stream_label::stream_label,
    writer_shared::{Work, WriterShared},
};

/// Background task of a writer, which appends one batch at a time.
pub(crate) struct Appender {
    log: Arc<dyn Log>,
    shared: Arc<WriterShared>,
    backoff: Backoff,
    sequence: u64,
    search_from: Offset,
    label: String,
}

impl Appender {
    pub(crate) fn new(log: Arc<dyn Log>, shared: Arc<WriterShared>) -> Self {
        let backoff = Backoff::new(shared.settings.seed);
        let label = stream_label(&shared.settings.stream);
        let search_from = shared.known_offset();
        Self { log, shared, backoff, sequence: 0, search_from, label }
    }

    pub(crate) async fn run(mut self) {
        loop {
            if self.shared.is_idle() {
                self.shared.wait_for_work().await;
                continue;
            }
            self.shared.settings.budget.acquire().await;
            match self.shared.next_work() {
                Work::Append(batch) => self.write_batch(batch).await,
                Work::Wait => {}
                Work::Stop => return,
            }
        }
    }

    async fn write_batch(&mut self, batch: Batch) {
        self.sequence += 1;
        self.search_from = self.shared.known_offset();
        let bodies = batch.bodies.iter().map(|pending| pending.body.as_slice());
        let data = encode_record(self.shared.settings.incarnation, self.sequence, bodies);
        let offset = self.append_until_durable(data).await;
        self.shared.complete(batch, offset);
    }

    async fn append_until_durable(&mut self, data: Vec<u8>) -> Offset {
        let mut may_be_appended = false;
        loop {
            let error = match self.append(data.clone()).await {
                Ok(offset) => return self.on_success(offset),
                Err(error) => error,
            };
            may_be_appended |= !matches!(error, LogError::Refused(_));
            self.on_failure(&error).await;
            if may_be_appended && let Some(offset) = self.find_appended().await {
                return self.on_success(offset);
            }
            self.shared.settings.budget.acquire().await;
        }
    }

    async fn append(&self, data: Vec<u8>) -> Result<Offset, LogError> {
        let settings = &self.shared.settings;
        counter!("journal_appends_total", "stream" => self.label.clone()).increment(1);
        timeout(settings.append_timeout, self.log.append(&settings.stream, data))
            .await
            .unwrap_or_else(|e| Err(LogError::NoAnswer(self.error("appending", e))))
    }

    /// Searches the stream for the record whose append was not answered; returns `None` if
    /// it is not there.
    async fn find_appended(&mut self) -> Option<Offset> {
        loop {
            let from = self.search_from;
            let page = match self.read(from).await {
                Ok(page) => page,
                Err(LogError::Truncated { oldest, .. }) => {
                    self.search_from = oldest;
                    continue;
                }
                Err(error) => {
                    self.on_failure(&error).await;
                    continue;
                }
            };
            if let Some(offset) = self.find_in_page(&page) {
                return Some(offset);
            }
            self.search_from = page.records.last().map_or(from, |record| record.offset.next());
            if self.search_from >= page.end {
                return None;
            }
        }
    }

    fn find_in_page(&self, page: &LogPage) -> Option<Offset> {
        let writer = self.shared.settings.incarnation;
        let record = page.records.iter().find(|r| is_record_of(&r.data, writer, self.sequence))?;
        counter!("journal_found_appended_total", "stream" => self.label.clone()).increment(1);
        Some(record.offset)
    }

    async fn read(&self, from: Offset) -> Result<LogPage, LogError> {
        const STEP: &str = "reading back";
        let settings = &self.shared.settings;
        let page = timeout(settings.append_timeout, self.log.read(&settings.stream, from, 0))
            .await
            .unwrap_or_else(|e| Err(LogError::NoAnswer(self.error(STEP, e))))?;
        check_page(STEP, &settings.stream, from, page)
    }

    fn on_success(&mut self, offset: Offset) -> Offset {
        self.backoff.reset();
        if self.shared.set_available(true) {
            info!("writing to stream {} works again", self.shared.settings.stream);
        }
        offset
    }

    async fn on_failure(&mut self, error: &LogError) {
        counter!("journal_write_failures_total", "stream" => self.label.clone()).increment(1);
        if self.shared.set_available(false) {
            warn!("writing to stream {} failed; retrying: {error}", self.shared.settings.stream);
        }
        self.backoff.wait().await;
    }

    fn error(&self, step: &'static str, cause: impl std::fmt::Display) -> StepError {
        let stream = &self.shared.settings.stream;
        StepError::new(step, Peer::Named(format!("stream {stream}")), cause)
    }
}
