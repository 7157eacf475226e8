//! The agent: a process beside each upstream, through which entries run tasks on it.
//!
//! An agent announces its upstream to the entries, offers them its free slots, queues and starts
//! attempts within its capacity and drains it.  It retains the state of each attempt for some time,
//! so that none starts twice and a new owner of a partition learns the state of its attempts.

mod admin;
mod agent;
mod announcer;
mod attempt_table;
mod core;
mod entry_client;
mod entry_link;
mod known_entries;
mod lease_guard;
mod leased_worker;
mod messages;
mod metric_names;
mod pause_detector;
mod reconnect;
mod renewal_period;
mod rpc_server;
mod run_outcome;
mod settings;
mod upstream;

use types::Route;

pub use crate::{
    agent::{Agent, AgentParts},
    reconnect::ReconnectBackoff,
    renewal_period::RenewalPeriod,
    settings::{AdminSettings, AgentSettings, ExecutorSettings, MemorySettings, WorkerSettings},
};

/// Returns the routes of the admin listener.
pub fn admin_routes() -> impl Iterator<Item = Route> {
    admin::AdminRoute::ALL.into_iter().map(admin::AdminRoute::route)
}
