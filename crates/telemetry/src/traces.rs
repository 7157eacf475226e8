use opentelemetry::global;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    trace::{Sampler, SdkTracerProvider},
};
use types::{Peer, StepError};

use crate::{SpanView, TraceSettings, recent_spans::RecentSpans};

/// Tracer provider and recent spans of a process.  Clones share them.
#[derive(Clone, Debug)]
pub struct Traces {
    recent: RecentSpans,
    provider: SdkTracerProvider,
}

impl Traces {
    /// Creates the tracer provider and installs it as the global one of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the OTLP exporter cannot be created.
    pub fn install(settings: &TraceSettings) -> Result<Self, StepError> {
        let recent = RecentSpans::new(settings.keep_spans);
        let sampler = Sampler::TraceIdRatioBased(settings.sample_ratio);
        let mut builder = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(sampler)))
            .with_resource(Resource::builder().with_service_name("ebonycroft").build())
            .with_simple_exporter(recent.clone());
        if let Some(endpoint) = &settings.otlp_endpoint {
            let exporter = SpanExporter::builder()
                .with_http()
                .with_endpoint(endpoint)
                .build()
                .map_err(|e| {
                    StepError::new("building the trace exporter", Peer::Named(endpoint.clone()), e)
                })?;
            builder = builder.with_batch_exporter(exporter);
        }
        let provider = builder.build();
        global::set_tracer_provider(provider.clone());
        Ok(Self { recent, provider })
    }

    /// Returns the finished spans that are kept in memory, oldest first.
    pub fn recent_spans(&self) -> Vec<SpanView> {
        self.recent.list()
    }

    /// Exports the spans that are still buffered, ignoring errors.
    pub fn flush(&self) {
        let _ = self.provider.force_flush();
    }
}
