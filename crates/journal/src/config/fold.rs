use std::sync::Arc;

use metrics::counter;
use ports::Offset;
use services::{ConfigPatch, ConfigSnapshot, ConfigState, PatchOutcome};

use crate::{ConfigProgress, ConfigRecord, Record, Recovered, Recovery, Snapshotted};

/// The configuration that the records of the stream lead to.  It performs no I/O:
/// processes that see the same records reach the same state.
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
    /// Every record up to here is in the state.
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

    /// Takes the next record.
    pub fn push(&mut self, record: Record<ConfigRecord>) {
        let offset = record.offset;
        match &mut self.phase {
            Phase::Following => self.follow(record),
            Phase::Recovering(recovery) => {
                if let Some(recovered) = recovery.push(record) {
                    self.restore(offset, recovered);
                }
            }
        }
    }

    /// Goes on at `from` although records before it are gone or unreadable: the state
    /// stays as it is until a snapshot includes them.
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

    fn follow(&mut self, record: Record<ConfigRecord>) {
        let offset = record.offset;
        for body in record.bodies {
            match body {
                Snapshotted::Change(patch) => {
                    self.last_change = Some(offset);
                    self.apply(&patch);
                }
                Snapshotted::Snapshot { next, state } => self.compare(offset, next, state),
            }
        }
    }

    fn apply(&mut self, patch: &ConfigPatch) {
        let verdict = Arc::make_mut(&mut self.state).apply(patch);
        self.changes_since_snapshot += 1;
        let label = match verdict {
            PatchOutcome::Accepted(_) => "accepted",
            PatchOutcome::Rejected(_) => "rejected",
            PatchOutcome::Duplicate(_) => "duplicate",
        };
        counter!("config_patches_total", "verdict" => label).increment(1);
    }

    /// A snapshot of a higher version than this state's was recorded by an operator, or
    /// by another version of the program that accepts what this one rejects.
    fn compare(&mut self, offset: Offset, next: Offset, snapshot: ConfigSnapshot) {
        self.changes_since_snapshot = 0;
        self.snapshots += 1;
        if snapshot.version <= self.state.version() {
            return;
        }
        log::warn!("configuration {} was recorded at offset {offset}", snapshot.version);
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
                recovered.changes.iter().for_each(|patch| self.apply(patch));
                log::info!("configuration recovered at version {}", self.state.version());
            }
            Ok(_) => {
                log::warn!("snapshot at offset {offset} has the lower version {version}");
                self.recover_from(offset.next());
            }
            Err(faults) => {
                log::warn!("snapshot at offset {offset} is not usable: {faults:?}");
                self.recover_from(offset.next());
            }
        }
    }
}
