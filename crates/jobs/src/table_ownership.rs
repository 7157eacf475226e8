use rpc::OwnedPartition;
use types::{Epoch, JobId, Partition, Refusal};

use crate::{
    FencedJob, JobTable, RestoreEffects, RestoredFinishedJob, RestoredJob, RestoredState,
    ResumePlan, Submission,
    finished::Finished,
    job::{Job, Phase},
    job_table::Serving,
    task::TaskState,
};

impl<W> JobTable<W> {
    /// Notes a confirmation of ownership by a question about `owned` that was sent at
    /// `sent_ms`: the claims, read to their end, name this entry, or more than half of the
    /// agents in service have answered it and none of these knew a newer epoch.  An agent
    /// counts only if it has run since before this entry last read the claims to their
    /// end: one that restarts forgets what it was told.
    pub fn confirm(&mut self, owned: &[OwnedPartition], sent_ms: u64) {
        for part in owned {
            if let Some(serving) = self.partitions.get_mut(&part.partition)
                && serving.epoch == part.epoch
            {
                serving.confirmed_ms = serving.confirmed_ms.max(sent_ms);
            }
        }
    }

    /// Serves the partitions of a takeover.  They need a [`JobTable::confirm`] of their own
    /// before anything is started for them.
    pub fn restore(&mut self, restored: RestoredState) -> RestoreEffects {
        for part in restored.partitions {
            let serving = Serving {
                epoch: part.owned.epoch,
                ambiguous_periods: part.ambiguous_periods,
                draining: false,
                confirmed_ms: 0,
                live: 0,
            };
            self.partitions.insert(part.owned.partition, serving);
        }
        for end in restored.finished {
            self.restore_end(end);
        }
        self.unrecorded.extend(restored.unrecorded);
        let resume = restored.jobs.into_iter().filter_map(|job| self.restore_job(job)).collect();
        RestoreEffects { resume, recall: restored.recall, records: restored.records }
    }

    fn restore_end(&mut self, end: RestoredFinishedJob) {
        if self.finished.get(end.id).is_none() {
            let finished = Finished { team: end.team, digest: end.digest, outcome: end.outcome };
            self.keep(end.id, finished);
        }
    }

    /// Adds an unfinished job; returns how it continues when its payloads are known.
    fn restore_job(&mut self, restored: RestoredJob) -> Option<ResumePlan> {
        let is_answered = |state: &TaskState| matches!(state, TaskState::Answered(_));
        let unanswered = restored.tasks.iter().filter(|task| !is_answered(&task.state)).count();
        let phase = match restored.payloads {
            Some(_) => Phase::Recorded,
            None => Phase::Orphaned,
        };
        let job = Job {
            terms: restored.terms,
            owned: restored.owned,
            phase,
            payloads: restored.payloads.unwrap_or_default(),
            wait: phase == Phase::Orphaned,
            tasks: restored.tasks,
            unanswered: unanswered as u32,
            possible_starts: restored.possible_starts,
            waiters: Vec::new(),
        };
        let plan = (phase == Phase::Recorded).then(|| job.resume_plan());
        self.insert_live(job);
        plan
    }

    /// Lists the partitions that the table serves.
    pub fn owned(&self) -> Vec<OwnedPartition> {
        self.partitions
            .iter()
            .map(|(partition, serving)| OwnedPartition {
                partition: *partition,
                epoch: serving.epoch,
            })
            .collect()
    }

    /// Accepts no new jobs for a partition that is about to be released.
    pub fn drain(&mut self, partition: Partition) {
        if let Some(serving) = self.partitions.get_mut(&partition) {
            serving.draining = true;
        }
    }

    /// Returns whether no job of a partition is in progress.
    pub fn is_idle(&self, partition: Partition) -> bool {
        self.partitions.get(&partition).is_none_or(|serving| serving.live == 0)
    }

    /// Gives a partition up: to a newer epoch of another owner, or at a release when the
    /// partition is idle.  Nothing more is started for it; returns its jobs in progress,
    /// to be forwarded.
    pub fn fence(&mut self, partition: Partition, epoch: Epoch) -> Vec<FencedJob<W>> {
        let is_stale = self.partitions.get(&partition).is_some_and(|serving| serving.epoch < epoch);
        if !is_stale {
            return Vec::new();
        }
        let ids: Vec<JobId> = self
            .live
            .iter()
            .filter(|(_, job)| job.owned.partition == partition)
            .map(|(id, _)| *id)
            .collect();
        let jobs = ids.into_iter().filter_map(|id| self.remove_live(id)).map(fenced).collect();
        self.partitions.swap_remove(&partition);
        jobs
    }

    /// Stops serving an idle partition before its release is written; returns whether it
    /// was idle.
    pub fn release(&mut self, partition: Partition) -> bool {
        let is_idle = self.is_idle(partition);
        if is_idle {
            self.partitions.swap_remove(&partition);
        }
        is_idle
    }
}

fn fenced<W>(job: Job<W>) -> FencedJob<W> {
    let id = job.terms.id;
    let submission = match job.phase {
        Phase::Orphaned => None,
        Phase::Unrecorded | Phase::Recorded => {
            Some(Submission { terms: job.terms, payloads: job.payloads, wait: job.wait })
        }
    };
    FencedJob { id, submission, waiters: job.waiters, refusal: Refusal::OutcomeUnknown }
}
