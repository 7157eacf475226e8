use std::{cell::RefCell, net::SocketAddr};

use indexmap::IndexMap;

use crate::settings::ProcessSettings;

/// Addresses of entries, learned from the settings, the store and other processes.
#[derive(Debug, Default)]
pub(crate) struct KnownEntries {
    addrs: RefCell<IndexMap<SocketAddr, EntryStatus>>,
}

/// Pause after the first failed attempt to reach an address, and maximum pause, milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 500;
const MAX_RETRY_PAUSE_MS: u64 = 4_000;
/// Consecutive failed attempts after which an address is removed.
const MAX_FAILED_ATTEMPTS: u32 = 12;

#[derive(Clone, Copy, Debug, Default)]
struct EntryStatus {
    /// Whether a task dials the address; set by [`KnownEntries::take_undialled`].
    is_dialled: bool,
    is_connected: bool,
    /// Whether it has connected since the start of this process.
    was_connected: bool,
    /// Whether its process is gone, or has probably been for long.
    is_absent: bool,
    failed_attempts: u32,
    /// Time before which the address is not dialled again, milliseconds.
    retry_at_ms: u64,
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

    /// Adds an address, unless no process can listen there.
    pub(crate) fn add(&self, addr: SocketAddr) {
        if addr.port() != 0 && !addr.ip().is_unspecified() && !addr.ip().is_multicast() {
            self.addrs.borrow_mut().entry(addr).or_default();
        }
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

    /// Returns the addresses that are connected or may be dialled now.
    pub(crate) fn reachable(&self, now_ms: u64) -> Vec<SocketAddr> {
        let addrs = self.addrs.borrow();
        let is_reachable = |status: &EntryStatus| now_ms >= status.retry_at_ms;
        addrs.iter().filter(|(_, status)| is_reachable(status)).map(|(addr, _)| *addr).collect()
    }

    /// Marks an address as dialled; returns whether no task dialled it before.
    pub(crate) fn begin_dial(&self, addr: SocketAddr) -> bool {
        let mut addrs = self.addrs.borrow_mut();
        addrs.get_mut(&addr).is_some_and(|status| !std::mem::replace(&mut status.is_dialled, true))
    }

    /// Records the end of the task that dialled an address. An address that was not reached is
    /// dialled again after an exponential delay, and removed after [`MAX_FAILED_ATTEMPTS`].
    pub(crate) fn end_dial(&self, addr: SocketAddr, was_connected: bool, now_ms: u64) {
        let mut addrs = self.addrs.borrow_mut();
        let Some(status) = addrs.get_mut(&addr) else { return };
        status.is_dialled = false;
        status.is_connected = false;
        status.failed_attempts = if was_connected { 0 } else { status.failed_attempts + 1 };
        let pause_ms = MIN_RETRY_PAUSE_MS << status.failed_attempts.min(8);
        status.retry_at_ms = now_ms + pause_ms.min(MAX_RETRY_PAUSE_MS);
        if status.failed_attempts >= MAX_FAILED_ATTEMPTS {
            addrs.swap_remove(&addr);
        }
    }

    pub(crate) fn set_connected(&self, addr: SocketAddr, is_connected: bool) {
        let mut addrs = self.addrs.borrow_mut();
        let status = addrs.entry(addr).or_default();
        status.is_connected = is_connected;
        status.was_connected |= is_connected;
    }

    /// Records that no process answers at an address.
    pub(crate) fn set_absent(&self, addr: SocketAddr) {
        if let Some(status) = self.addrs.borrow_mut().get_mut(&addr) {
            status.is_absent = true;
        }
    }

    /// Returns whether some entry has not connected since the start of this process although its own
    /// process may run.
    pub(crate) fn has_unconnected(&self) -> bool {
        let is_awaited = |status: &EntryStatus| !status.was_connected && !status.is_absent;
        self.addrs.borrow().values().any(is_awaited)
    }

    /// Removes an address that could not be reached; it may be added again.
    pub(crate) fn remove(&self, addr: SocketAddr) {
        self.addrs.borrow_mut().swap_remove(&addr);
    }

    /// Returns the number of addresses that are not connected.
    pub(crate) fn unconnected(&self) -> usize {
        self.addrs.borrow().values().filter(|status| !status.is_connected).count()
    }

    /// Returns the addresses that are connected now, to be passed on to other processes.
    pub(crate) fn connected(&self) -> Vec<SocketAddr> {
        let addrs = self.addrs.borrow();
        addrs.iter().filter(|(_, status)| status.is_connected).map(|(addr, _)| *addr).collect()
    }
}

#[cfg(test)]
mod tests;
