//! The entry: the APIs for callers and operators, the job table, and the dispatch of tasks to
//! agents.

mod admin;
mod api;
mod clock;
mod dispatcher;
mod entry;
mod link;
mod link_handle;
mod losses;
mod membership;
mod messages;
mod metric_names;
mod ownership;
mod peer_server;
mod recorder;
mod router;
mod settings;
mod supervise;

use types::Route;

pub use crate::{
    entry::{Entry, EntryParts},
    losses::{Loss, Losses},
    settings::{
        AdminSettings, CallerSettings, EntrySettings, JobSettings, JournalSettings, LimitSettings,
    },
};

/// Returns the routes of the caller API.
pub fn caller_routes() -> impl Iterator<Item = Route> {
    api::CallerRoute::ALL.into_iter().map(api::CallerRoute::route)
}

/// Returns the routes of the admin API.
pub fn admin_routes() -> impl Iterator<Item = Route> {
    admin::AdminRoute::ALL.into_iter().map(admin::AdminRoute::route)
}
