use indexmap::IndexMap;
use types::{KindName, PoolName, TeamName};

use crate::KindConfig;

types::settings! {
    /// A service: the requests that it accepts and the upstreams that may answer them.
    pub struct ServiceConfig {
        /// Kinds of request that are accepted.
        pub kinds: IndexMap<KindName, KindConfig>,
        /// Pools whose upstreams may answer.
        pub pools: Vec<PoolName>,
        /// Teams whose callers may use the service.
        pub teams: Vec<TeamName>,
        /// Most tasks in one job.
        #[serde(default = "default_max_tasks")]
        pub max_tasks: u32,
    }
}

fn default_max_tasks() -> u32 {
    1_000
}
