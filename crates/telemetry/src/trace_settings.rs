types::settings! {
    /// Settings of distributed tracing.
    #[serde(default)]
    pub struct TraceSettings {
        /// OTLP endpoint over HTTP, such as `http://127.0.0.1:4318/v1/traces`; spans are not
        /// exported without one.
        pub otlp_endpoint: Option<String>,
        /// Fraction, from 0 to 1, of the requests to trace among those whose caller did not make
        /// the sampling decision.
        pub sample_ratio: f64,
        /// Largest number of finished spans kept in memory.
        pub keep_spans: usize,
    }
}

impl Default for TraceSettings {
    fn default() -> Self {
        Self { otlp_endpoint: None, sample_ratio: 0.01, keep_spans: 2_000 }
    }
}
