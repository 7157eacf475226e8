use std::collections::HashMap;

use opentelemetry::{
    Context, KeyValue, global,
    propagation::TextMapPropagator,
    trace::{SpanKind, Status, TraceContextExt, Tracer},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;

const TRACEPARENT: &str = "traceparent";

/// Stage of a request's processing that has a span of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// Request of a caller at the entry that received it.
    Entry,
    /// One attempt at the entry, from its dispatch to its answer.
    Dispatch,
    /// Attempt at the agent, including the time in its queue.
    Agent,
    /// Request of the agent to the upstream.
    Upstream,
}

impl Hop {
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Dispatch => "dispatch",
            Self::Agent => "agent",
            Self::Upstream => "upstream",
        }
    }

    fn kind(self) -> SpanKind {
        match self {
            Self::Entry | Self::Agent => SpanKind::Server,
            Self::Dispatch | Self::Upstream => SpanKind::Client,
        }
    }
}

/// An open span, which ends when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    cx: Context,
}

impl HopSpan {
    /// Starts a span.  Its parent is the span in the W3C `traceparent` header, if one is given;
    /// otherwise it is the root of a new trace.
    pub fn start(hop: Hop, traceparent: Option<&str>) -> Self {
        let tracer = global::tracer("ebonycroft");
        let parent = traceparent.map_or_else(Context::new, parse_traceparent);
        let span = tracer
            .span_builder(hop.name())
            .with_kind(hop.kind())
            .start_with_context(&tracer, &parent);
        Self { cx: parent.with_span(span) }
    }

    /// Sets an attribute if the span is recorded.
    pub fn set_attribute(&self, key: &'static str, value: impl ToString) {
        let span = self.cx.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Sets the status to an error with a description if the span is recorded.
    pub fn set_error(&self, description: impl ToString) {
        let span = self.cx.span();
        if span.is_recording() {
            span.set_status(Status::error(description.to_string()));
        }
    }

    /// Returns the W3C `traceparent` header for the next hop.
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.cx, &mut carrier);
        carrier.remove(TRACEPARENT)
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.cx.span().end();
    }
}

fn parse_traceparent(traceparent: &str) -> Context {
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}
