types::settings! {
    /// Capacity and retention of a [`LogServer`](crate::LogServer). The default rates are those
    /// that the users of the platform state for their store.
    #[derive(Eq)]
    #[serde(default)]
    pub struct LogSettings {
        /// Latency of an append in milliseconds.
        pub append_latency_ms: u64,
        /// Maximum number of appends a second over all streams; further ones are refused.
        pub appends_per_second: u32,
        /// Maximum number of reads a second over all streams; further ones are refused.
        pub reads_per_second: u32,
        /// Maximum number of records retained in a stream; no limit when absent.
        pub keep_records: Option<u64>,
        /// Maximum age of a record in milliseconds; no limit when absent.
        pub keep_ms: Option<u64>,
        /// Maximum number of records in a page.
        pub page_records: usize,
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            append_latency_ms: 4,
            appends_per_second: 800,
            reads_per_second: 2_000,
            keep_records: None,
            keep_ms: None,
            page_records: 1_000,
        }
    }
}
