use std::sync::Arc;

use types::Resources;

types::wire! {
    /// Whether an upstream accepts new tasks.
    #[derive(Copy, Eq)]
    pub enum UpstreamState {
        /// It accepts new tasks.
        Ready,
        /// It finishes its running tasks and then leaves.
        Draining,
    }

    /// Description of one incarnation of an upstream, from its heartbeat.
    #[derive(Eq)]
    pub struct Upstream {
        /// Name of the upstream.
        pub id: Arc<str>,
        /// Start time of this incarnation, Unix milliseconds by the upstream's own clock.
        #[serde(rename = "born")]
        pub incarnation: u64,
        /// Pool that it belongs to.
        pub pool: Arc<str>,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Total resources for concurrent tasks; may shrink and grow while the upstream runs.
        pub capacity: Resources,
        /// The largest capacity that this incarnation has reported.
        pub largest_capacity: Resources,
        /// Labels, among them its kind and its rack.
        pub labels: Vec<Arc<str>>,
        /// Whether it accepts new tasks.
        pub state: UpstreamState,
        /// Time for which it runs tasks slowly, milliseconds, as of the beginning of that time; 0 if
        /// it does not. In a heartbeat it is the time that remains.
        pub cold_ms: u64,
    }
}
