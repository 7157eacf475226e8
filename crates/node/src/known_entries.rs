use std::{cell::RefCell, net::SocketAddr};

use indexmap::IndexMap;

use crate::settings::ProcessSettings;

/// Addresses of entries, learned from the settings, the store and other processes.
#[derive(Debug, Default)]
pub(crate) struct KnownEntries {
    addrs: RefCell<IndexMap<SocketAddr, EntryStatus>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EntryStatus {
    /// Whether a task dials the address; set by [`KnownEntries::take_undialled`].
    is_dialled: bool,
    is_connected: bool,
}

impl KnownEntries {
    /// Creates the list from the seeds of the settings, without the process's own address.
    pub(crate) fn from_seeds(settings: &ProcessSettings, own: Option<SocketAddr>) -> Self {
        let known = Self::default();
        known.add_seeds(settings, own);
        known
    }

    /// Adds the seeds of the settings, without the process's own address.
    pub(crate) fn add_seeds(&self, settings: &ProcessSettings, own: Option<SocketAddr>) {
        for seed in settings.seeds.iter().flatten() {
            let addr = SocketAddr::new(seed.ip(), settings.seeds_port.unwrap_or(seed.port()));
            if Some(addr) != own {
                self.add(addr);
            }
        }
    }

    pub(crate) fn add(&self, addr: SocketAddr) {
        self.addrs.borrow_mut().entry(addr).or_default();
    }

    pub(crate) fn add_all(&self, addrs: &[SocketAddr]) {
        addrs.iter().for_each(|addr| self.add(*addr));
    }

    /// Returns the addresses that no task dials yet, and marks them as dialled.
    pub(crate) fn take_undialled(&self) -> Vec<SocketAddr> {
        let mut addrs = self.addrs.borrow_mut();
        let undialled = addrs.iter_mut().filter(|(_, status)| !status.is_dialled);
        undialled
            .map(|(addr, status)| {
                status.is_dialled = true;
                *addr
            })
            .collect()
    }

    pub(crate) fn set_connected(&self, addr: SocketAddr, is_connected: bool) {
        self.addrs.borrow_mut().entry(addr).or_default().is_connected = is_connected;
    }

    /// Removes an address that could not be reached; it may be added again.
    pub(crate) fn remove(&self, addr: SocketAddr) {
        self.addrs.borrow_mut().swap_remove(&addr);
    }

    /// Returns the addresses that are connected now, to be passed on to other processes.
    pub(crate) fn connected(&self) -> Vec<SocketAddr> {
        let addrs = self.addrs.borrow();
        addrs.iter().filter(|(_, status)| status.is_connected).map(|(addr, _)| *addr).collect()
    }
}
