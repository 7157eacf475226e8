//! Refusal of attempts while the zone of the upstream is evacuated.

use crate::{
    AttemptOutcome, Evacuations, SettledBy, TaskId,
    supervisor::{Supervisor, SupervisorEffect, run::Phase},
};

impl Supervisor {
    /// Returns the evacuated zones that the agent knows of.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Merges what an entry says of evacuations.
    pub fn merge_evacuations(&mut self, other: &Evacuations) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        if self.evacuations.merge(other) {
            self.apply_evacuations(&mut effects);
        }
        effects
    }

    /// Acts on a change of the evacuated zones, or of the upstream's zone: runs whose start is held
    /// back do not start, and the entries learn whether attempts are accepted.
    pub(crate) fn apply_evacuations(&mut self, effects: &mut Vec<SupervisorEffect>) {
        // Nothing starts without a known upstream, so the state is kept until it is known again.
        let Some(zone) = self.upstream.as_ref().map(|upstream| &upstream.zone) else { return };
        let change = self.evacuations.change(zone);
        if change.is_evacuated == self.is_evacuated {
            return;
        }
        self.is_evacuated = change.is_evacuated;
        effects.push(SupervisorEffect::EvacuationChanged(change));
        if self.is_evacuated {
            let held = self.runs.iter().filter(|(_, run)| run.phase == Phase::Held);
            let held: Vec<TaskId> = held.map(|(task, _)| task.clone()).collect();
            for task in held {
                self.finish(&task, AttemptOutcome::NotStarted, SettledBy::Evacuation, effects);
            }
        }
        effects.extend(self.report_all());
    }
}
