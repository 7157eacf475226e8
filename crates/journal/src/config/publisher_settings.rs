use std::time::Duration;

const DECISION_TIMEOUT: Duration = Duration::from_secs(5);
const SNAPSHOT_EVERY_CHANGES: u32 = 256;
const SNAPSHOT_AFTER: Duration = Duration::from_secs(15 * 60);

/// Settings of a [`crate::ConfigPublisher`].
#[derive(Clone, Debug)]
pub struct PublisherSettings {
    pub(crate) decision_timeout: Duration,
    pub(crate) snapshot_every_changes: u32,
    pub(crate) snapshot_after: Duration,
    pub(crate) seed: u64,
}

impl Default for PublisherSettings {
    /// Waits 5 s for a decision, and writes a snapshot after 256 patches or 15 minutes.
    fn default() -> Self {
        Self {
            decision_timeout: DECISION_TIMEOUT,
            snapshot_every_changes: SNAPSHOT_EVERY_CHANGES,
            snapshot_after: SNAPSHOT_AFTER,
            seed: rand::random(),
        }
    }
}

impl PublisherSettings {
    /// Sets the time after which a submitted patch is reported as undecided.
    pub fn decision_timeout(self, timeout: Duration) -> Self {
        Self { decision_timeout: timeout, ..self }
    }

    /// Sets the number of patches after which a snapshot is written.
    pub fn snapshot_every_changes(self, changes: u32) -> Self {
        Self { snapshot_every_changes: changes, ..self }
    }

    /// Sets the time after which a snapshot is written even without patches.  It must be
    /// well below the log's retention.
    pub fn snapshot_after(self, age: Duration) -> Self {
        Self { snapshot_after: age, ..self }
    }

    /// Sets the seed of the jitter that keeps processes from writing snapshots at the same
    /// time.
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
