use std::time::Duration;

use metrics::counter;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep_until};

use crate::{
    ChangeOrSnapshot, ConfigFollower, ConfigProgress, ConfigRecord, PublisherSettings, Writer,
};

/// Time until a snapshot that is due but not possible is retried.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Largest part of a threshold that is added to it at random, so that one process writes a
/// snapshot before the others reach their thresholds.
const MAX_JITTER: f64 = 0.5;

/// Writes a snapshot when the latest one in the stream is too old or too many patches follow
/// it.
pub(crate) struct SnapshotTask {
    follower: ConfigFollower,
    writer: Writer<ConfigRecord>,
    settings: PublisherSettings,
    rng: StdRng,
    seen_snapshots: u64,
    due_at: Instant,
    due_changes: u32,
}

impl SnapshotTask {
    pub(crate) fn new(
        follower: ConfigFollower,
        writer: Writer<ConfigRecord>,
        settings: PublisherSettings,
    ) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        let due_at = Instant::now();
        let mut task =
            Self { follower, writer, settings, rng, seen_snapshots: 0, due_at, due_changes: 0 };
        task.schedule();
        task
    }

    pub(crate) async fn run(mut self) {
        let mut progress = self.follower.progress();
        loop {
            tokio::select! {
                changed = progress.changed() => if changed.is_err() { return },
                () = sleep_until(self.due_at) => {}
            }
            let progress = progress.borrow_and_update().clone();
            self.on_progress(&progress);
        }
    }

    fn on_progress(&mut self, progress: &ConfigProgress) {
        if progress.snapshots != self.seen_snapshots {
            self.seen_snapshots = progress.snapshots;
            self.schedule();
        }
        let is_due = Instant::now() >= self.due_at;
        if !is_due && progress.changes_since_snapshot < self.due_changes {
            return;
        }
        self.due_at = Instant::now() + RETRY_AFTER;
        self.due_changes = u32::MAX;
        let is_possible = progress.can_snapshot()
            && self.follower.is_available()
            && self.writer.state().is_available;
        if is_possible {
            self.write_snapshot(progress);
        }
    }

    fn write_snapshot(&mut self, progress: &ConfigProgress) {
        let state = progress.state.snapshot();
        let snapshot = ChangeOrSnapshot::Snapshot { next: progress.resume_from, state };
        if self.writer.enqueue(&snapshot).is_ok() {
            counter!("config_snapshots_total").increment(1);
        }
    }

    fn schedule(&mut self) {
        let factor = 1.0 + self.rng.random_range(0.0..MAX_JITTER);
        self.due_at = Instant::now() + self.settings.snapshot_after.mul_f64(factor);
        let changes = f64::from(self.settings.snapshot_every_changes) * factor;
        self.due_changes = changes as u32;
    }
}
