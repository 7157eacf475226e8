use std::sync::Arc;

use types::Resources;

types::wire! {
    /// Whether an upstream takes new tasks.
    #[derive(Copy, Eq)]
    pub enum UpstreamState {
        /// It takes new tasks.
        Ready,
        /// It finishes what runs and leaves.
        Draining,
    }

    /// What one incarnation of an upstream says of itself.
    #[derive(Eq)]
    pub struct Upstream {
        /// Name of the upstream.
        pub id: Arc<str>,
        /// Start of this incarnation, Unix milliseconds by its own clock.
        #[serde(rename = "born")]
        pub incarnation: u64,
        /// The pool that it belongs to.
        pub pool: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// All that it can run at a time.
        pub capacity: Resources,
        /// Its kind and its rack.
        pub labels: Vec<Arc<str>>,
        /// Whether it takes new tasks.
        pub state: UpstreamState,
    }
}
