//! Finished jobs of a job table, bounded by age and by the bytes of their outcomes.

use std::{
    collections::{BTreeMap, VecDeque},
    mem::size_of,
    sync::Arc,
};

use indexmap::IndexSet;
use types::{Answer, Digest, JobId, JobOutcome, TeamName};

const DIGEST_PREFIX_BYTES: usize = 16;

/// A job to add to [`FinishedJobs`].
pub(crate) struct NewFinishedJob {
    pub(crate) team: TeamName,
    pub(crate) digest: Digest,
    /// The outcome; `None` for a tombstone, whose answers are discarded.
    pub(crate) outcome: Option<Arc<JobOutcome>>,
}

/// A finished job as [`FinishedJobs`] holds it.
pub(crate) struct FinishedJobRef<'a> {
    pub(crate) team: &'a TeamName,
    pub(crate) digest: DigestPrefix,
    pub(crate) outcome: Option<&'a Arc<JobOutcome>>,
}

/// First half of a digest; enough to distinguish two submissions under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DigestPrefix([u8; DIGEST_PREFIX_BYTES]);

#[derive(Debug)]
struct StoredJob {
    digest: DigestPrefix,
    /// Index into [`FinishedJobs::teams`].
    team: u32,
    outcome: Option<Arc<JobOutcome>>,
}

/// Finished jobs in the order of their ids, which is that of their creation.
#[derive(Debug, Default)]
pub(crate) struct FinishedJobs {
    jobs: BTreeMap<JobId, StoredJob>,
    teams: IndexSet<TeamName>,
    /// Jobs in the order in which they finished; some may have lost their outcome already.
    end_order: VecDeque<JobId>,
    /// Number of jobs with an outcome.
    retained: usize,
    /// Bytes of these outcomes.
    retained_bytes: usize,
}

impl FinishedJobs {
    pub(crate) fn get(&self, id: JobId) -> Option<FinishedJobRef<'_>> {
        let stored = self.jobs.get(&id)?;
        let team = self.teams.get_index(stored.team as usize)?;
        Some(FinishedJobRef { team, digest: stored.digest, outcome: stored.outcome.as_ref() })
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn retained(&self) -> usize {
        self.retained
    }

    pub(crate) fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns the creation time of the oldest job in Unix milliseconds.
    pub(crate) fn oldest_created_ms(&self) -> Option<u64> {
        self.jobs.first_key_value().map(|(id, _)| id.created_ms())
    }

    pub(crate) fn insert(&mut self, id: JobId, finished: NewFinishedJob) {
        if let Some(outcome) = &finished.outcome {
            self.retained_bytes += outcome_bytes(outcome);
            self.retained += 1;
            self.end_order.push_back(id);
        }
        let (team, _) = self.teams.insert_full(finished.team);
        let digest = DigestPrefix::of(&finished.digest);
        self.jobs.insert(id, StoredJob { digest, team: team as u32, outcome: finished.outcome });
    }

    /// Reduces jobs to tombstones, in the order in which they finished, until the retained
    /// outcomes fit into `bytes`.
    pub(crate) fn limit_retained_bytes(&mut self, bytes: usize) {
        while self.retained_bytes > bytes {
            let Some(id) = self.end_order.pop_front() else { return };
            self.discard_outcome(id);
        }
    }

    fn discard_outcome(&mut self, id: JobId) {
        let outcome = self.jobs.get_mut(&id).and_then(|finished| finished.outcome.take());
        self.subtract_outcome(outcome);
    }

    fn subtract_outcome(&mut self, outcome: Option<Arc<JobOutcome>>) {
        if let Some(outcome) = outcome {
            self.retained -= 1;
            self.retained_bytes -= outcome_bytes(&outcome);
        }
    }

    /// Removes jobs whose ids were created before a time in Unix milliseconds.
    pub(crate) fn remove_before(&mut self, created_ms: u64) {
        while self.oldest_created_ms().is_some_and(|oldest| oldest < created_ms) {
            if let Some((_, finished)) = self.jobs.pop_first() {
                self.subtract_outcome(finished.outcome);
            }
        }
        while self.end_order.front().is_some_and(|id| id.created_ms() < created_ms) {
            self.end_order.pop_front();
        }
    }
}

impl DigestPrefix {
    pub(crate) fn of(digest: &Digest) -> Self {
        let mut prefix = [0; DIGEST_PREFIX_BYTES];
        prefix.copy_from_slice(&digest.as_bytes()[..DIGEST_PREFIX_BYTES]);
        Self(prefix)
    }
}

/// Returns the bytes that an outcome occupies.
fn outcome_bytes(outcome: &JobOutcome) -> usize {
    size_of::<JobOutcome>()
        + match outcome {
            JobOutcome::Complete { answers } => {
                answers.iter().map(|answer| size_of::<Answer>() + answer.payload.len()).sum()
            }
            JobOutcome::Failed { .. } => 0,
        }
}
