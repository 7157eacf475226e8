use std::{collections::VecDeque, time::Duration};

use ports::{LeaseId, LeaseUsage};
use tokio::time::Instant;

/// Usage by lease over time, from which usage is reported with a lag.
#[derive(Debug)]
pub(crate) struct UsageHistory {
    lag: Duration,
    snapshots: VecDeque<Snapshot>,
}

#[derive(Clone, Debug)]
struct Snapshot {
    since: Instant,
    leases: Vec<LeaseUsage>,
}

impl UsageHistory {
    pub(crate) fn new(lag: Duration, now: Instant) -> Self {
        Self { lag, snapshots: VecDeque::from([Snapshot { since: now, leases: Vec::new() }]) }
    }

    /// Records that a lease uses resources from now on.
    pub(crate) fn add(&mut self, usage: LeaseUsage, now: Instant) {
        let mut leases = self.latest();
        leases.push(usage);
        self.push(leases, now);
    }

    /// Records that a lease uses no resources from now on.
    pub(crate) fn remove(&mut self, lease: LeaseId, now: Instant) {
        let mut leases = self.latest();
        leases.retain(|usage| usage.lease != lease);
        self.push(leases, now);
    }

    /// Returns the usage as it was `lag` ago.
    pub(crate) fn reported(&self, now: Instant) -> Vec<LeaseUsage> {
        self.snapshots
            .iter()
            .rev()
            .find(|s| now.duration_since(s.since) >= self.lag)
            .map(|s| s.leases.clone())
            .unwrap_or_default()
    }

    fn latest(&self) -> Vec<LeaseUsage> {
        self.snapshots.back().map(|s| s.leases.clone()).unwrap_or_default()
    }

    fn push(&mut self, leases: Vec<LeaseUsage>, now: Instant) {
        self.snapshots.push_back(Snapshot { since: now, leases });
        let outdated = self.snapshots.partition_point(|s| now.duration_since(s.since) >= self.lag);
        self.snapshots.drain(..outdated.saturating_sub(1));
    }
}
