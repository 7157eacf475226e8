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
mod line_budget;
mod metrics_server;
mod peer_links;
mod settings;
mod settings_watch;
mod signals;
mod store_access;
mod whole_lines;

pub use crate::{
    agent::DirectAgent,
    entry::DirectEntry,
    settings::{DirectAgentSettings, DirectEntrySettings, ProcessSettings, StoreSettings},
    signals::stop_signal,
};

/// Left of the grace for the end of the process itself, milliseconds.
const EXIT_MARGIN_MS: u64 = 700;
