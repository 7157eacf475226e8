types::settings! {
    /// Capacity and retention of a [`LogServer`](crate::LogServer). The defaults are the rates that
    /// the users state for their store.
    #[derive(Eq)]
    #[serde(default)]
    pub struct LogSettings {
        /// Time that one append takes, in milliseconds.
        pub append_latency_ms: u64,
        /// Most appends a second over all streams; further ones are refused.
        pub appends_per_second: u32,
        /// Most reads a second over all streams; further ones are refused.
        pub reads_per_second: u32,
        /// Most records kept in a stream; no limit where absent.
        pub keep_records: Option<u64>,
        /// Longest age of a record in milliseconds; no limit where absent.
        pub keep_ms: Option<u64>,
        /// Most records in one page.
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
