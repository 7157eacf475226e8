use std::sync::Arc;

use services::{ConfigPatch, ConfigState, PatchId, PatchOutcome};
use tokio::{task::JoinSet, time::timeout};

use super::snapshot_task::SnapshotTask;
use crate::{
    ChangeOrSnapshot, Committed, ConfigFollower, ConfigRecord, JournalError, PublisherSettings,
    Submission, Writer,
};

/// Submits patches, and writes snapshots before the log's retention truncates the stream.
///
/// Clones share one snapshot task; it is stopped when the last of them is dropped.
#[derive(Clone, Debug)]
pub struct ConfigPublisher {
    follower: ConfigFollower,
    writer: Writer<ConfigRecord>,
    settings: PublisherSettings,
    _task: Arc<JoinSet<()>>,
}

impl ConfigPublisher {
    /// Creates a publisher that writes to the stream that `follower` reads.
    pub fn spawn(
        follower: ConfigFollower,
        writer: Writer<ConfigRecord>,
        settings: PublisherSettings,
    ) -> Self {
        let mut task = JoinSet::new();
        let snapshots = SnapshotTask::new(follower.clone(), writer.clone(), settings.clone());
        task.spawn(snapshots.run());
        Self { follower, writer, settings, _task: Arc::new(task) }
    }

    /// Appends a patch and waits until it has been read back from the log and decided.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch was not submitted and never takes effect: the log is
    /// not available, this process cannot decide patches because records are missing, or the
    /// backlog is full.
    pub async fn submit(&self, patch: ConfigPatch) -> Result<Submission, JournalError> {
        let patch_id = patch.patch_id;
        if let Some(first) = self.follower.patch_outcome(patch_id) {
            return Ok(Submission::Decided(PatchOutcome::Duplicate(Box::new(first))));
        }
        self.check_available()?;
        let mut progress = self.follower.progress();
        self.writer.enqueue(&ChangeOrSnapshot::Change(patch))?;
        let decided =
            progress.wait_for(|progress| progress.state.patch_outcome(patch_id).is_some());
        let decided = timeout(self.settings.decision_timeout, decided).await;
        let outcome = match &decided {
            Ok(Ok(progress)) => progress.state.patch_outcome(patch_id),
            Ok(Err(_)) | Err(_) => None,
        };
        Ok(match outcome {
            Some(outcome) => Submission::Decided(outcome.clone()),
            None => Submission::Undecided { patch_id },
        })
    }

    /// Returns the first outcome of a patch; `None` if it is undecided or no longer
    /// remembered.
    pub fn patch_outcome(&self, patch_id: PatchId) -> Option<PatchOutcome> {
        self.follower.patch_outcome(patch_id)
    }

    /// Writes the configuration in force as a snapshot, so that processes which cannot read
    /// all of the stream continue from it.
    ///
    /// Operators use it after an unreadable record, and when the stream no longer contains
    /// a usable snapshot.
    ///
    /// # Errors
    ///
    /// See [`Writer::commit`].
    pub async fn checkpoint(&self) -> Result<Committed, JournalError> {
        let progress = self.follower.progress().borrow().clone();
        let state = newer(progress.state, self.follower.in_force());
        let snapshot =
            ChangeOrSnapshot::Snapshot { next: progress.resume_from, state: state.snapshot() };
        self.writer.commit(&snapshot).await
    }

    fn check_available(&self) -> Result<(), JournalError> {
        const STEP: &str = "submitting a patch";
        let unavailable = |cause| JournalError::Unavailable(self.writer.error(STEP, cause));
        if !self.follower.is_available() || !self.writer.state().is_available {
            return Err(unavailable("the log is down"));
        }
        if self.follower.progress().borrow().is_recovering {
            return Err(unavailable("records are missing and no snapshot was found yet"));
        }
        Ok(())
    }
}

/// Returns the state with the higher version; at equal versions the folded state, because it
/// contains the outcomes of patches.
fn newer(folded: Arc<ConfigState>, in_force: Arc<ConfigState>) -> Arc<ConfigState> {
    if in_force.version() > folded.version() { in_force } else { folded }
}
