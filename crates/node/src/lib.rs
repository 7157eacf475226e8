//! The processes that answer jobs on their submission: an entry in front of callers, and an agent
//! beside each upstream. Each runs on one thread; its parts share its state without locks.

mod agent;
mod clock;
mod config_watch;
mod directory;
mod entry;
mod events;
mod frames;
mod http_server;
mod known_entries;
mod metrics_server;
mod peer_links;
mod settings;
mod signals;

use std::time::Duration;

pub use crate::{
    agent::DirectAgent,
    entry::DirectEntry,
    settings::{DirectAgentSettings, DirectEntrySettings},
    signals::stop_signal,
};

/// Longest time for an answer of the store, beside what a read waits. Source: well within the
/// time in which a configuration has to be in force.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Left of the grace for the end of the process itself, milliseconds.
const EXIT_MARGIN_MS: u64 = 700;
