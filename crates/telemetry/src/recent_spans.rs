use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use opentelemetry::trace::Status;
use opentelemetry_sdk::{
    error::OTelSdkResult,
    trace::{SpanData, SpanExporter},
};

use crate::SpanView;

/// Span exporter that keeps the most recent finished spans in memory.
#[derive(Clone, Debug)]
pub(crate) struct RecentSpans {
    spans: Arc<Mutex<VecDeque<SpanView>>>,
    capacity: usize,
}

impl RecentSpans {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { spans: Arc::default(), capacity }
    }

    pub(crate) fn list(&self) -> Vec<SpanView> {
        self.spans.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    fn push(&self, span: SpanView) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        if spans.len() >= self.capacity {
            spans.pop_front();
        }
        spans.push_back(span);
    }
}

impl SpanExporter for RecentSpans {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        batch.into_iter().map(span_view).for_each(|span| self.push(span));
        Ok(())
    }
}

fn span_view(span: SpanData) -> SpanView {
    let attributes = span.attributes.iter().map(|kv| format!("{}={}", kv.key, kv.value));
    let duration = span.end_time.duration_since(span.start_time).unwrap_or(Duration::ZERO);
    SpanView {
        trace_id: span.span_context.trace_id().to_string(),
        span_id: span.span_context.span_id().to_string(),
        parent_id: span.parent_span_id.to_string(),
        name: span.name.to_string(),
        start_us: unix_us(span.start_time),
        duration_us: duration.as_micros() as u64,
        attributes: attributes.collect(),
        error: match span.status {
            Status::Error { description } => Some(description.to_string()),
            Status::Ok | Status::Unset => None,
        },
    }
}

fn unix_us(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}
