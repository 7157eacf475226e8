//! End of jobs of a [`JobTable`]: completion, failure, cancellation, expiry and withdrawal.

use std::sync::Arc;

use types::{Failure, JobId, JobOutcome, Refusal, TeamName};

use crate::{
    FinishedJob, FinishedRecord, JobTable, OutcomeClass,
    finished::NewFinishedJob,
    job::{Job, Phase},
};

types::plain! {
    /// Effect of a cancellation.
    pub enum CancelEffects<W> {
        /// The job had finished before, with this outcome.
        AlreadyFinished(Arc<JobOutcome>),
        /// The cancellation finished the job.
        Finished(FinishedJob<W>),
    }
}

impl<W> JobTable<W> {
    /// Cancels a job of an owned partition.
    ///
    /// # Errors
    ///
    /// [`Refusal::UnknownJob`], also for a job of another team, and [`Refusal::AnswerGone`]
    /// when the job had finished and its outcome is not retained.
    pub fn cancel(
        &mut self,
        id: JobId,
        team: &TeamName,
        now_ms: u64,
    ) -> Result<CancelEffects<W>, Refusal> {
        if self.live.get(&id).is_some_and(|job| job.terms.team != *team) {
            return Err(Refusal::UnknownJob);
        }
        if let Some(job) = self.fail(id, Failure::Cancelled, now_ms) {
            return Ok(CancelEffects::Finished(job));
        }
        let finished = self
            .finished
            .get(id)
            .filter(|finished| finished.team == team && self.owns(id))
            .ok_or(Refusal::UnknownJob)?;
        let outcome = finished.outcome.cloned().ok_or(Refusal::AnswerGone)?;
        Ok(CancelEffects::AlreadyFinished(outcome))
    }

    /// Returns the earliest deadline of the jobs in progress, in Unix milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.deadlines.first().map(|deadline| deadline.at_ms)
    }

    /// Fails the jobs whose deadline has passed at `now_ms`.
    pub fn expire(&mut self, now_ms: u64) -> Vec<FinishedJob<W>> {
        std::iter::from_fn(|| {
            let deadline = *self.deadlines.first()?;
            if deadline.at_ms > now_ms {
                return None;
            }
            let failure = expiry_failure(&self.live[&deadline.id]);
            self.fail(deadline.id, failure, now_ms)
        })
        .collect()
    }

    /// Fails a job in progress; returns `None` if it is not in progress. The outcome claims
    /// that the job was not run only if no attempt may have started and ownership is confirmed.
    pub fn fail(&mut self, id: JobId, failure: Failure, now_ms: u64) -> Option<FinishedJob<W>> {
        let job = self.remove_live(id)?;
        let not_run = job.possible_starts == 0 && self.is_confirmed(job.owned.partition, now_ms);
        Some(self.finish(job, JobOutcome::Failed { failure, not_run }, now_ms))
    }

    pub(crate) fn complete(&mut self, id: JobId, now_ms: u64) -> Option<FinishedJob<W>> {
        let mut job = self.remove_live(id)?;
        let outcome = job.take_outcome();
        Some(self.finish(job, outcome, now_ms))
    }

    fn finish(&mut self, job: Job<W>, outcome: JobOutcome, now_ms: u64) -> FinishedJob<W> {
        let cancel = job.sent_attempts();
        let terms = job.terms;
        let outcome = Arc::new(outcome);
        let record = FinishedRecord {
            id: terms.id,
            team: terms.team.clone(),
            digest: terms.digest,
            epoch: job.owned.epoch,
            class: OutcomeClass::of(&outcome),
        };
        let finished = NewFinishedJob {
            team: terms.team,
            digest: terms.digest,
            outcome: Some(outcome.clone()),
        };
        self.store_finished(terms.id, finished);
        self.evict(now_ms);
        FinishedJob { id: terms.id, outcome, waiters: job.waiters, cancel, record }
    }

    pub(crate) fn store_finished(&mut self, id: JobId, finished: NewFinishedJob) {
        if id.created_ms() >= self.expired_before_ms {
            self.finished.insert(id, finished);
        }
    }

    /// Removes a job that admission control refuses, and returns its waiting callers. Returns
    /// `None`, and leaves the job in progress, if an attempt may have started or ownership is
    /// not confirmed, so that nobody can claim that the job was not run.
    pub fn withdraw(&mut self, id: JobId, now_ms: u64) -> Option<Vec<W>> {
        let job = self.live.get(&id)?;
        if job.possible_starts > 0 || !self.is_confirmed(job.owned.partition, now_ms) {
            return None;
        }
        self.remove_live(id).map(|job| job.waiters)
    }
}

fn expiry_failure<W>(job: &Job<W>) -> Failure {
    match job.phase {
        Phase::Orphaned if job.possible_starts == 0 => Failure::Interrupted,
        Phase::Orphaned | Phase::Unrecorded | Phase::Recorded => Failure::DeadlineExceeded,
    }
}
