//! The entries that an agent announces to.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use indexmap::IndexMap;
use rpc::EntryIdentity;
use tokio::sync::Notify;
use types::Incarnation;

/// Origin of an entry's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressSource {
    /// The settings name the address; the agent never stops calling it.
    Settings,
    /// An entry named the address in its hello or in a reply; it is removed after the entry has
    /// been unreachable for some time.
    Learned,
}

/// An entry: its incarnation that last replied to an announcement, and the signal that another
/// incarnation has called.
struct KnownEntry {
    incarnation: Option<Incarnation>,
    restarted: Arc<Notify>,
}

/// Entries that an agent announces to, keyed by address.
#[derive(Default)]
pub(crate) struct KnownEntries {
    entries: Mutex<IndexMap<SocketAddr, KnownEntry>>,
}

impl KnownEntries {
    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, KnownEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an address and returns the signal that its entry has restarted; returns `None` if the
    /// address is known.
    pub(crate) fn insert(&self, addr: SocketAddr) -> Option<Arc<Notify>> {
        let mut entries = self.lock();
        if entries.contains_key(&addr) {
            return None;
        }
        let restarted = Arc::new(Notify::new());
        entries.insert(addr, KnownEntry { incarnation: None, restarted: Arc::clone(&restarted) });
        Some(restarted)
    }

    /// Records the incarnation that replied to an announcement.
    pub(crate) fn set_incarnation(&self, addr: SocketAddr, incarnation: Incarnation) {
        if let Some(known) = self.lock().get_mut(&addr) {
            known.incarnation = Some(incarnation);
        }
    }

    /// Handles the hello of an entry.  If the entry has restarted since its last reply, its link is
    /// notified, so that the agent announces to it again.
    pub(crate) fn on_hello(&self, entry: &EntryIdentity) {
        if let Some(known) = self.lock().get(&entry.addr)
            && known.incarnation.is_some_and(|previous| previous != entry.incarnation)
        {
            known.restarted.notify_one();
        }
    }

    /// Removes an address.
    pub(crate) fn remove(&self, addr: SocketAddr) {
        self.lock().swap_remove(&addr);
    }
}
