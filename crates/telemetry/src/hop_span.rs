use std::collections::HashMap;

use opentelemetry::{
    Context, KeyValue, global,
    propagation::TextMapPropagator,
    trace::{SpanKind, Status, TraceContextExt, Tracer},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;

const TRACEPARENT: &str = "traceparent";

/// A hop of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// A caller's request at the entry that received it.
    Entry,
    /// One attempt, from its dispatch to its answer.
    Dispatch,
    /// The attempt at the agent, waiting included.
    Agent,
    /// The request to the upstream.
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

/// An open span; it ends when dropped.
#[derive(Debug)]
pub struct HopSpan {
    cx: Context,
}

impl HopSpan {
    /// Starts a span under the parent that a W3C `traceparent` names, if one is given.
    pub fn start(hop: Hop, traceparent: Option<&str>) -> Self {
        let tracer = global::tracer("ebonycroft");
        let parent = traceparent.map_or_else(Context::new, extract);
        let span = tracer
            .span_builder(hop.name())
            .with_kind(hop.kind())
            .start_with_context(&tracer, &parent);
        Self { cx: parent.with_span(span) }
    }

    /// Adds an attribute when the span is recorded.
    pub fn set_attribute(&self, key: &'static str, value: impl ToString) {
        let span = self.cx.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Marks the hop as failed.
    pub fn set_error(&self, description: impl ToString) {
        let span = self.cx.span();
        if span.is_recording() {
            span.set_status(Status::error(description.to_string()));
        }
    }

    /// Returns the `traceparent` for the next hop.
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

fn extract(traceparent: &str) -> Context {
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}
