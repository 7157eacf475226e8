use indexmap::IndexMap;
use types::{PoolName, ServiceName, TeamName};

use crate::{PoolConfig, ServiceConfig, TeamConfig};

types::settings! {
    /// One version of the whole shared configuration.
    #[derive(Default)]
    pub struct SharedConfig {
        /// Services by name.
        #[serde(default)]
        pub services: IndexMap<ServiceName, ServiceConfig>,
        /// Pools of upstreams by name.
        #[serde(default)]
        pub pools: IndexMap<PoolName, PoolConfig>,
        /// Teams by name.
        #[serde(default)]
        pub teams: IndexMap<TeamName, TeamConfig>,
    }
}
