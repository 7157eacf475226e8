use indexmap::IndexMap;

use crate::{PatchDecision, PatchId, PatchOutcome};

/// Most patches whose outcomes are remembered.
const MAX_RECENT_OUTCOMES: usize = 1_024;

/// Most bytes of remembered outcomes, so that a snapshot fits into one record of the log.
const MAX_RECENT_BYTES: usize = 64 * 1024;

types::plain! {
    /// Outcomes of the first submissions of the latest patches, oldest first.
    #[derive(Default)]
    pub(crate) struct RecentOutcomes {
        outcomes: IndexMap<PatchId, PatchOutcome>,
        bytes: usize,
    }
}

impl RecentOutcomes {
    pub(crate) fn get(&self, patch_id: PatchId) -> Option<&PatchOutcome> {
        self.outcomes.get(&patch_id)
    }

    pub(crate) fn insert(&mut self, patch_id: PatchId, outcome: PatchOutcome) {
        self.bytes += outcome.size_bytes();
        self.outcomes.insert(patch_id, outcome);
        while self.outcomes.len() > MAX_RECENT_OUTCOMES || self.bytes > MAX_RECENT_BYTES {
            let oldest = self.outcomes.shift_remove_index(0);
            self.bytes -= oldest.map_or(self.bytes, |(_, outcome)| outcome.size_bytes());
        }
    }

    pub(crate) fn decisions(&self) -> Vec<PatchDecision> {
        let decision = |(patch_id, outcome): (&PatchId, &PatchOutcome)| PatchDecision {
            patch_id: *patch_id,
            outcome: outcome.clone(),
        };
        self.outcomes.iter().map(decision).collect()
    }
}

impl FromIterator<PatchDecision> for RecentOutcomes {
    fn from_iter<I: IntoIterator<Item = PatchDecision>>(decisions: I) -> Self {
        let mut recent = Self::default();
        for decision in decisions {
            recent.insert(decision.patch_id, decision.outcome);
        }
        recent
    }
}
