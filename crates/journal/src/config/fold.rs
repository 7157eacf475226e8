use std::sync::Arc;

use metrics::counter;
use ports::Offset;
use services::{ConfigPatch, ConfigSnapshot, ConfigState, PatchOutcome};

use crate::{ChangeOrSnapshot, ConfigProgress, ConfigRecord, Record, Recovered, Recovery};

/// Computes the configuration from the records of the stream.  It performs no I/O, and
/// processes that read the same records reach the same state.
#[derive(Debug, Default)]
pub struct ConfigFold {
    state: Arc<ConfigState>,
    phase: Phase,
    last_change: Option<Offset>,
    changes_since_snapshot: u32,
    snapshots: u64,
}

#[derive(Debug, Default)]
enum Phase {
    /// The state includes every record up to the latest one.
    #[default]
    Following,
    /// Records are missing; a snapshot must replace them.
    Recovering(Recovery<ConfigPatch, ConfigSnapshot>),
}

impl ConfigFold {
    /// Returns the state.
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// Returns whether records are missing and no snapshot has replaced them yet.
    pub fn is_recovering(&self) -> bool {
        matches!(self.phase, Phase::Recovering(_))
    }

    /// Applies the next record.
    pub fn push(&mut self, record: Record<ConfigRecord>) {
        let offset = record.offset;
        match &mut self.phase {
            Phase::Following => self.apply_record(record),
            Phase::Recovering(recovery) => {
                if let Some(recovered) = recovery.push(record) {
                    self.restore(offset, recovered);
                }
            }
        }
    }

    /// Continues at `from` although records before it are truncated or unreadable.  The
    /// state does not change until a snapshot that includes them.
    pub fn recover_from(&mut self, from: Offset) {
        self.phase = Phase::Recovering(Recovery::new(from));
    }

    pub(crate) fn progress(&self, position: Offset, is_caught_up: bool) -> ConfigProgress {
        let resume_from = match &self.phase {
            Phase::Following => position,
            Phase::Recovering(recovery) => recovery.complete_from(),
        };
        ConfigProgress {
            state: self.state.clone(),
            resume_from,
            is_recovering: self.is_recovering(),
            is_caught_up,
            changes_since_snapshot: self.changes_since_snapshot,
            snapshots: self.snapshots,
        }
    }

    fn apply_record(&mut self, record: Record<ConfigRecord>) {
        let offset = record.offset;
        for body in record.bodies {
            match body {
                ChangeOrSnapshot::Change(patch) => {
                    self.last_change = Some(offset);
                    self.apply_patch(&patch);
                }
                ChangeOrSnapshot::Snapshot { next, state } => self.on_snapshot(offset, next, state),
            }
        }
    }

    fn apply_patch(&mut self, patch: &ConfigPatch) {
        let outcome = Arc::make_mut(&mut self.state).apply(patch);
        self.changes_since_snapshot += 1;
        let label = match outcome {
            PatchOutcome::Accepted(_) => "accepted",
            PatchOutcome::Rejected(_) => "rejected",
            PatchOutcome::Duplicate(_) => "duplicate",
        };
        counter!("config_patches_total", "verdict" => label).increment(1);
    }

    /// Restores the state from a snapshot if its version is higher than the state's.  Such a
    /// snapshot was written by an operator, or by another version of the program that
    /// accepts patches which this one rejects.
    fn on_snapshot(&mut self, offset: Offset, next: Offset, snapshot: ConfigSnapshot) {
        self.changes_since_snapshot = 0;
        self.snapshots += 1;
        if snapshot.version <= self.state.version() {
            return;
        }
        log::warn!("snapshot at offset {offset} has the higher version {}", snapshot.version);
        if self.last_change.is_none_or(|last| last < next) {
            self.restore(offset, Recovered { state: snapshot, changes: Vec::new() });
        } else {
            self.recover_from(offset.next());
        }
    }

    fn restore(&mut self, offset: Offset, recovered: Recovered<ConfigPatch, ConfigSnapshot>) {
        let version = recovered.state.version;
        let restored = ConfigState::restore(recovered.state);
        match restored {
            Ok(state) if version >= self.state.version() => {
                self.state = Arc::new(state);
                self.phase = Phase::Following;
                self.changes_since_snapshot = 0;
                self.snapshots += 1;
                recovered.changes.iter().for_each(|patch| self.apply_patch(patch));
                log::info!(
                    "configuration restored from a snapshot; version {}",
                    self.state.version()
                );
            }
            Ok(_) => {
                log::warn!(
                    "snapshot at offset {offset} ignored: it has the lower version {version}"
                );
                self.recover_from(offset.next());
            }
            Err(errors) => {
                log::warn!("snapshot at offset {offset} ignored: it is not valid: {errors:?}");
                self.recover_from(offset.next());
            }
        }
    }
}
