use std::collections::BTreeSet;

use indexmap::IndexMap;
use rpc::{JobStatus, OwnedPartition};
use services::Acceptance;
use types::{Epoch, JobId, JobOutcome, Partition, PartitionCount, Refusal, TeamName};

use crate::{
    AcceptedRecord, AmbiguousPeriod, JobRecord, Submission, SubmitDecision, TableSettings,
    TableSizes,
    finished::{DigestPrefix, FinishedJobs},
    job::{Job, Phase},
    task::Task,
};

/// State of a partition that the table serves.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServedPartition {
    pub(crate) epoch: Epoch,
    pub(crate) ambiguous_periods: Vec<AmbiguousPeriod>,
    /// Whether new jobs are refused, before a release.
    pub(crate) draining: bool,
    /// Time at which the latest query that confirmed the ownership was sent, in Unix
    /// milliseconds.
    pub(crate) confirmed_ms: u64,
    /// Number of jobs in progress.
    pub(crate) live: usize,
}

/// The jobs of all partitions that one entry owns.
///
/// The table decides what may start and what callers receive; its user sends messages and
/// writes records. `W` is a handle with which the user replies to one waiting request. Times
/// are Unix milliseconds of the owner's clock, which must not go backwards while the process
/// runs.
#[derive(Debug)]
pub struct JobTable<W> {
    pub(crate) settings: TableSettings,
    pub(crate) count: PartitionCount,
    pub(crate) partitions: IndexMap<Partition, ServedPartition>,
    /// Jobs in progress.
    pub(crate) live: IndexMap<JobId, Job<W>>,
    pub(crate) deadlines: BTreeSet<Deadline>,
    pub(crate) finished: FinishedJobs,
    /// Ids that an agent may have started and that no record names.
    pub(crate) unrecorded: BTreeSet<JobId>,
    pub(crate) live_bytes: usize,
    /// Ids created before this time, in Unix milliseconds, have expired: they are refused, and
    /// nothing is stored about them.
    pub(crate) expired_before_ms: u64,
}

/// Deadline of a job in progress, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline {
    pub(crate) at_ms: u64,
    pub(crate) id: JobId,
}

impl<W> JobTable<W> {
    /// Creates a table that serves no partition.
    pub fn new(settings: TableSettings, count: PartitionCount) -> Self {
        Self {
            settings,
            count,
            partitions: IndexMap::new(),
            live: IndexMap::new(),
            deadlines: BTreeSet::new(),
            finished: FinishedJobs::default(),
            unrecorded: BTreeSet::new(),
            live_bytes: 0,
            expired_before_ms: 0,
        }
    }

    /// Decides how to handle a submission. Known jobs are looked up before any refusal that
    /// claims that nothing ran.
    pub fn submit(&mut self, submission: Submission, now_ms: u64) -> SubmitDecision {
        self.evict(now_ms);
        let id = submission.terms.id;
        if !self.owns(id) {
            return SubmitDecision::NotOwner;
        }
        if self.live.contains_key(&id) {
            return self.submit_live(submission);
        }
        if let Some(decision) = self.submit_finished(&submission) {
            return decision;
        }
        match self.refuse_new(&submission, now_ms) {
            Some(refusal) => SubmitDecision::Refuse(refusal),
            None => self.accept(submission, now_ms),
        }
    }

    /// Returns whether the table serves the partition of a job.
    pub fn owns(&self, id: JobId) -> bool {
        self.partitions.contains_key(&Partition::of(id, self.count))
    }

    fn submit_live(&mut self, submission: Submission) -> SubmitDecision {
        let job = &mut self.live[&submission.terms.id];
        let terms = &job.terms;
        if let Some(refusal) =
            refuse_mismatch(&submission, &terms.team, DigestPrefix::of(&terms.digest))
        {
            return SubmitDecision::Refuse(refusal);
        }
        if submission.payloads.len() != job.tasks.len() {
            return SubmitDecision::Refuse(Refusal::Conflict);
        }
        match job.phase {
            Phase::Unrecorded | Phase::Recorded => SubmitDecision::Join,
            Phase::Orphaned => self.resume(submission),
        }
    }

    fn resume(&mut self, submission: Submission) -> SubmitDecision {
        let id = submission.terms.id;
        let deadline_ms = submission.terms.deadline_ms;
        let job = &mut self.live[&id];
        let old = Deadline { at_ms: job.terms.deadline_ms, id };
        self.live_bytes -= job.bytes();
        job.phase = Phase::Recorded;
        job.terms.deadline_ms = deadline_ms;
        job.payloads = submission.payloads;
        job.wait = submission.wait;
        self.live_bytes += job.bytes();
        self.deadlines.remove(&old);
        self.deadlines.insert(Deadline { at_ms: deadline_ms, id });
        SubmitDecision::Resume(job.resume_plan())
    }

    fn submit_finished(&self, submission: &Submission) -> Option<SubmitDecision> {
        let finished = self.finished.get(submission.terms.id)?;
        if let Some(refusal) = refuse_mismatch(submission, finished.team, finished.digest) {
            return Some(SubmitDecision::Refuse(refusal));
        }
        Some(match finished.outcome {
            Some(outcome) => SubmitDecision::Finished(outcome.clone()),
            None => SubmitDecision::Refuse(Refusal::AnswerGone),
        })
    }

    /// Returns the refusal of a submission whose id the table does not hold, or `None` if it is
    /// to be accepted.
    fn refuse_new(&self, submission: &Submission, now_ms: u64) -> Option<Refusal> {
        let id = submission.terms.id;
        let created_ms = id.created_ms();
        let served = &self.partitions[&Partition::of(id, self.count)];
        let window_ms = self.settings.window_ms;
        let oldest_ms = now_ms.saturating_sub(window_ms).max(self.expired_before_ms);
        if created_ms < oldest_ms {
            return Some(Refusal::Expired { window_ms });
        }
        if created_ms > now_ms.saturating_add(self.settings.clock_skew_ms) {
            return Some(Refusal::FutureId);
        }
        if self.unrecorded.contains(&id)
            || served.ambiguous_periods.iter().any(|period| period.contains(created_ms))
        {
            return Some(Refusal::OutcomeUnknown);
        }
        if submission.payloads.is_empty() {
            return Some(Refusal::Invalid("job has no tasks".to_owned()));
        }
        match served.draining {
            true if self.is_confirmed(Partition::of(id, self.count), now_ms) => {
                Some(Refusal::Draining)
            }
            true => Some(Refusal::OutcomeUnknown),
            false => None,
        }
    }

    fn accept(&mut self, mut submission: Submission, now_ms: u64) -> SubmitDecision {
        let id = submission.terms.id;
        let partition = Partition::of(id, self.count);
        let is_late = id.created_ms().saturating_add(self.settings.late_submission_ms) < now_ms;
        if is_late || !submission.terms.idempotent {
            submission.terms.acceptance = Acceptance::BeforeStart;
        }
        submission.terms.accepted_ms = now_ms;
        submission.terms.tasks = submission.payloads.len() as u32;
        let records_payloads = !submission.wait
            && submission.payload_bytes() <= self.settings.max_recorded_payload_bytes;
        let owned = OwnedPartition { partition, epoch: self.partitions[&partition].epoch };
        let record = AcceptedRecord {
            terms: submission.terms.clone(),
            owned,
            payloads: records_payloads.then(|| submission.payloads.clone()),
        };
        let job = Job {
            owned,
            phase: Phase::Unrecorded,
            unanswered: submission.terms.tasks,
            tasks: submission.payloads.iter().map(|_| Task::new()).collect(),
            terms: submission.terms,
            payloads: submission.payloads,
            wait: submission.wait,
            possible_starts: 0,
            waiters: Vec::new(),
        };
        self.insert_live(job);
        SubmitDecision::Start(JobRecord::Accepted(record))
    }

    /// Marks the acceptance record of a job as durable; call it only if the claims, read to
    /// their end after that, still name this entry as the owner. Returns whether the job is in
    /// progress.
    pub fn mark_recorded(&mut self, id: JobId) -> bool {
        let Some(job) = self.live.get_mut(&id) else { return false };
        if job.phase == Phase::Unrecorded {
            job.phase = Phase::Recorded;
        }
        true
    }

    /// Adds a caller that waits for the outcome of a job. Returns the waiter if the job is not
    /// in progress.
    pub fn add_waiter(&mut self, id: JobId, waiter: W) -> Option<W> {
        match self.live.get_mut(&id) {
            Some(job) => {
                job.waiters.push(waiter);
                None
            }
            None => Some(waiter),
        }
    }

    /// Returns the state of a job of an owned partition.
    ///
    /// # Errors
    ///
    /// [`Refusal::UnknownJob`], also for a job of another team, and [`Refusal::AnswerGone`]
    /// when the outcome is not retained.
    pub fn status(&self, id: JobId, team: &TeamName) -> Result<JobStatus, Refusal> {
        if let Some(job) = self.live.get(&id).filter(|job| job.terms.team == *team) {
            let tasks = job.terms.tasks;
            return Ok(JobStatus::Accepted { tasks, answered: tasks - job.unanswered });
        }
        let finished = self
            .finished
            .get(id)
            .filter(|finished| finished.team == team && self.owns(id))
            .ok_or(Refusal::UnknownJob)?;
        let outcome = finished.outcome.ok_or(Refusal::AnswerGone)?;
        Ok(JobStatus::Finished(JobOutcome::clone(outcome)))
    }

    /// Returns the number and size of what the table holds.
    pub fn sizes(&self) -> TableSizes {
        TableSizes {
            live: self.live.len(),
            live_bytes: self.live_bytes,
            finished: self.finished.len(),
            retained: self.finished.retained(),
            retained_bytes: self.finished.retained_bytes(),
            unrecorded: self.unrecorded.len(),
        }
    }

    /// Removes expired jobs and ids, and outcomes and jobs that exceed the limits of the table.
    pub fn evict(&mut self, now_ms: u64) {
        let expired_before_ms = now_ms.saturating_sub(self.settings.retention_ms());
        self.expire_ids_before(expired_before_ms);
        while self.finished.len() > self.settings.max_finished {
            let Some(oldest_ms) = self.finished.oldest_created_ms() else { break };
            self.expire_ids_before(oldest_ms + 1);
        }
        self.finished.limit_retained_bytes(self.settings.max_answer_bytes);
    }

    fn expire_ids_before(&mut self, expired_before_ms: u64) {
        if expired_before_ms <= self.expired_before_ms {
            return;
        }
        self.expired_before_ms = expired_before_ms;
        self.finished.remove_before(expired_before_ms);
        while self.unrecorded.first().is_some_and(|id| id.created_ms() < expired_before_ms) {
            self.unrecorded.pop_first();
        }
        for served in self.partitions.values_mut() {
            served.ambiguous_periods.retain(|period| period.until_ms > expired_before_ms);
        }
    }

    pub(crate) fn insert_live(&mut self, job: Job<W>) {
        let id = job.terms.id;
        self.live_bytes += job.bytes();
        self.deadlines.insert(Deadline { at_ms: job.terms.deadline_ms, id });
        if let Some(served) = self.partitions.get_mut(&job.owned.partition) {
            served.live += 1;
        }
        self.live.insert(id, job);
    }

    pub(crate) fn remove_live(&mut self, id: JobId) -> Option<Job<W>> {
        let job = self.live.swap_remove(&id)?;
        self.live_bytes -= job.bytes();
        self.deadlines.remove(&Deadline { at_ms: job.terms.deadline_ms, id });
        if let Some(served) = self.partitions.get_mut(&job.owned.partition) {
            served.live -= 1;
        }
        Some(job)
    }

    /// Returns whether the ownership of a partition was confirmed recently enough that no other
    /// entry can serve it yet.
    pub(crate) fn is_confirmed(&self, partition: Partition, now_ms: u64) -> bool {
        let validity_ms = self.settings.confirmation_validity_ms;
        self.partitions
            .get(&partition)
            .is_some_and(|served| now_ms.saturating_sub(served.confirmed_ms) < validity_ms)
    }
}

/// Returns the refusal of a submission whose team or digest differs from the job with the same
/// id.
fn refuse_mismatch(
    submission: &Submission,
    team: &TeamName,
    digest: DigestPrefix,
) -> Option<Refusal> {
    if submission.terms.team != *team {
        return Some(Refusal::UnknownJob);
    }
    (DigestPrefix::of(&submission.terms.digest) != digest).then_some(Refusal::Conflict)
}
