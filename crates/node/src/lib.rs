//! The processes for direct jobs, whose submission is answered with the job's outcome: an entry,
//! which callers send their jobs to, and an agent on the machine of each upstream. A process runs
//! on one thread, so its parts share state without locks.

mod agent;
mod clock;
mod config_watch;
mod directory;
mod entry;
mod events;
mod frames;
mod http;
mod known_entries;
mod line_budget;
mod loop_delay;
mod metrics_server;
mod peer_links;
mod pipe_writes;
mod settings;
mod settings_watch;
mod signals;
mod store_access;
mod task_names;

pub use crate::{
    agent::DirectAgent,
    entry::DirectEntry,
    settings::{
        DirectAgentSettings, DirectEntrySettings, PlacementSettings, ProcessSettings, StoreSettings,
    },
    signals::stop_signal,
};

/// Part of the grace period that is kept for the end of the process after its work is done,
/// milliseconds.
const EXIT_MARGIN_MS: u64 = 700;
