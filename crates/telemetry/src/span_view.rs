types::wire! {
    /// A finished span as listed by the administration API.
    pub struct SpanView {
        /// Trace identifier in hexadecimal digits.
        pub trace_id: String,
        /// Span identifier in hexadecimal digits.
        pub span_id: String,
        /// Identifier of the parent span; all zeros for a root span.
        pub parent_id: String,
        /// Name of the hop.
        pub name: String,
        /// Start in microseconds since the Unix epoch.
        pub start_us: u64,
        /// Duration in microseconds.
        pub duration_us: u64,
        /// Attributes as `key=value`.
        pub attributes: Vec<String>,
        /// Error description, if the hop failed.
        pub error: Option<String>,
    }
}
