types::settings! {
    /// A pool of interchangeable upstreams.
    pub struct PoolConfig {
        /// Largest part of the pool, in percent, that may be ejected by health checks at once.
        #[serde(default = "default_max_ejected_percent")]
        pub max_ejected_percent: u8,
    }
}

fn default_max_ejected_percent() -> u8 {
    30
}
