types::settings! {
    /// Counters read from Prometheus pages before and after the run.
    #[derive(Eq, Default)]
    pub struct MetricsPlan {
        /// URLs of the pages, such as `http://127.0.0.1:9080/metrics`.
        #[serde(default)]
        pub urls: Vec<String>,
        /// Bearer token for the pages.
        #[serde(default)]
        pub token: Option<String>,
        /// Names of counters, which are summed over their labels and over the pages. A name with
        /// labels selects that series alone.
        #[serde(default)]
        pub counters: Vec<String>,
    }
}
