//! Distributed tracing: one OpenTelemetry span for each hop of a request.  Finished spans are
//! kept in memory for the administration API, and exported over OTLP if an endpoint is set.

mod hop_span;
mod recent_spans;
mod span_view;
mod trace_settings;
mod traces;

pub use crate::{
    hop_span::{Hop, HopSpan},
    span_view::SpanView,
    trace_settings::TraceSettings,
    traces::Traces,
};
