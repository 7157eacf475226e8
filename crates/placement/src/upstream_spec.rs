use types::{Incarnation, Location, PoolName, Resources, UpstreamName};

types::plain! {
    /// Properties of an upstream as announced by its agent.
    pub struct UpstreamSpec {
        /// Name of the upstream.
        pub name: UpstreamName,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Pool that the upstream belongs to.
        pub pool: PoolName,
        /// Location of the upstream.
        pub location: Location,
        /// Largest number of tasks that the upstream runs at once.
        pub slots: u32,
        /// Largest number of connections that the upstream accepts.
        pub connections: u32,
        /// Resources of the upstream's worker.
        pub capacity: Resources,
    }
}
