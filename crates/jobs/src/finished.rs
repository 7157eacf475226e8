use std::{
    collections::{BTreeMap, VecDeque},
    mem::size_of,
    sync::Arc,
};

use indexmap::IndexSet;
use types::{Answer, Digest, JobId, JobOutcome, TeamName};

const DIGEST_PREFIX_BYTES: usize = 16;

/// A job that has ended.
pub(crate) struct Finished {
    pub(crate) team: TeamName,
    pub(crate) digest: Digest,
    /// The outcome; absent once only a tombstone is kept.
    pub(crate) outcome: Option<Arc<JobOutcome>>,
}

/// What is kept of a job that has ended.
pub(crate) struct KeptJob<'a> {
    pub(crate) team: &'a TeamName,
    pub(crate) digest: DigestPrefix,
    pub(crate) outcome: Option<&'a Arc<JobOutcome>>,
}

/// First half of a digest; enough to tell two contents under one id apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DigestPrefix([u8; DIGEST_PREFIX_BYTES]);

#[derive(Debug)]
struct Stored {
    digest: DigestPrefix,
    /// Position in [`FinishedJobs::teams`].
    team: u32,
    outcome: Option<Arc<JobOutcome>>,
}

/// Jobs that have ended, in the order of their ids and so of their creation.
#[derive(Debug, Default)]
pub(crate) struct FinishedJobs {
    jobs: BTreeMap<JobId, Stored>,
    teams: IndexSet<TeamName>,
    /// Jobs in the order in which they ended; some of them may have no outcome any more.
    ended: VecDeque<JobId>,
    retained: usize,
    retained_bytes: usize,
}

impl FinishedJobs {
    pub(crate) fn get(&self, id: JobId) -> Option<KeptJob<'_>> {
        let stored = self.jobs.get(&id)?;
        let team = self.teams.get_index(stored.team as usize)?;
        Some(KeptJob { team, digest: stored.digest, outcome: stored.outcome.as_ref() })
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

    /// Returns the creation time of the oldest job.
    pub(crate) fn oldest_ms(&self) -> Option<u64> {
        self.jobs.first_key_value().map(|(id, _)| id.created_ms())
    }

    pub(crate) fn insert(&mut self, id: JobId, finished: Finished) {
        if let Some(outcome) = &finished.outcome {
            self.retained_bytes += outcome_bytes(outcome);
            self.retained += 1;
            self.ended.push_back(id);
        }
        let (team, _) = self.teams.insert_full(finished.team);
        let digest = DigestPrefix::of(&finished.digest);
        self.jobs.insert(id, Stored { digest, team: team as u32, outcome: finished.outcome });
    }

    /// Reduces jobs to tombstones, the first that ended first, until the answers fit.
    pub(crate) fn bound_answers(&mut self, bytes: usize) {
        while self.retained_bytes > bytes {
            let Some(id) = self.ended.pop_front() else { return };
            self.drop_outcome(id);
        }
    }

    fn drop_outcome(&mut self, id: JobId) {
        let outcome = self.jobs.get_mut(&id).and_then(|finished| finished.outcome.take());
        self.forget(outcome);
    }

    fn forget(&mut self, outcome: Option<Arc<JobOutcome>>) {
        if let Some(outcome) = outcome {
            self.retained -= 1;
            self.retained_bytes -= outcome_bytes(&outcome);
        }
    }

    /// Removes jobs whose ids were created before a time in Unix milliseconds.
    pub(crate) fn remove_before(&mut self, created_ms: u64) {
        while self.oldest_ms().is_some_and(|oldest| oldest < created_ms) {
            if let Some((_, finished)) = self.jobs.pop_first() {
                self.forget(finished.outcome);
            }
        }
        while self.ended.front().is_some_and(|id| id.created_ms() < created_ms) {
            self.ended.pop_front();
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

/// Returns the bytes held for an outcome.
fn outcome_bytes(outcome: &JobOutcome) -> usize {
    size_of::<JobOutcome>()
        + match outcome {
            JobOutcome::Complete { answers } => {
                answers.iter().map(|answer| size_of::<Answer>() + answer.payload.len()).sum()
            }
            JobOutcome::Failed { .. } => 0,
        }
}
