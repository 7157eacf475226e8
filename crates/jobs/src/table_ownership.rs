//! Partitions of a [`JobTable`]: confirmation, takeover, drain, fencing and release.

use rpc::OwnedPartition;
use types::{Epoch, JobId, Partition, Refusal};

use crate::{
    FencedJob, JobTable, RestoreEffects, RestoredFinishedJob, RestoredJob, RestoredState,
    ResumePlan, Submission,
    finished::NewFinishedJob,
    job::{Job, Phase},
    job_table::ServedPartition,
    task::TaskState,
};

impl<W> JobTable<W> {
    /// Confirms the ownership of `owned` as of `sent_ms`, the time in Unix milliseconds at
    /// which the confirming query was sent. A query confirms if the claims, read to their end,
    /// name this entry as the owner, or if more than half of the serving agents have replied
    /// and none of these knows a newer epoch. An agent counts only if it has been running since
    /// before this entry last read the claims to their end, since an agent forgets all epochs
    /// when it restarts.
    pub fn confirm(&mut self, owned: &[OwnedPartition], sent_ms: u64) {
        for part in owned {
            if let Some(served) = self.partitions.get_mut(&part.partition)
                && served.epoch == part.epoch
            {
                served.confirmed_ms = served.confirmed_ms.max(sent_ms);
            }
        }
    }

    /// Starts to serve the partitions of a takeover and adds their jobs. No attempt may start
    /// before a [`JobTable::confirm`] for the new epochs.
    pub fn restore(&mut self, restored: RestoredState) -> RestoreEffects {
        for part in restored.partitions {
            let served = ServedPartition {
                epoch: part.owned.epoch,
                ambiguous_periods: part.ambiguous_periods,
                draining: false,
                confirmed_ms: 0,
                live: 0,
            };
            self.partitions.insert(part.owned.partition, served);
        }
        for job in restored.finished {
            self.restore_finished(job);
        }
        self.unrecorded.extend(restored.unrecorded);
        let resume = restored.jobs.into_iter().filter_map(|job| self.restore_job(job)).collect();
        RestoreEffects { resume, recall: restored.recall, records: restored.records }
    }

    fn restore_finished(&mut self, job: RestoredFinishedJob) {
        if self.finished.get(job.id).is_none() {
            let finished =
                NewFinishedJob { team: job.team, digest: job.digest, outcome: job.outcome };
            self.store_finished(job.id, finished);
        }
    }

    /// Adds an unfinished job and returns how it continues, or `None` if its payloads are
    /// unknown.
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

    /// Lists the partitions that the table serves, with their epochs.
    pub fn owned(&self) -> Vec<OwnedPartition> {
        self.partitions
            .iter()
            .map(|(partition, served)| OwnedPartition {
                partition: *partition,
                epoch: served.epoch,
            })
            .collect()
    }

    /// Stops accepting new jobs for a partition that is about to be released.
    pub fn drain(&mut self, partition: Partition) {
        if let Some(served) = self.partitions.get_mut(&partition) {
            served.draining = true;
        }
    }

    /// Returns whether no job of a partition is in progress.
    pub fn is_idle(&self, partition: Partition) -> bool {
        self.partitions.get(&partition).is_none_or(|served| served.live == 0)
    }

    /// Stops serving a partition that is owned under a newer epoch, and returns its jobs in
    /// progress, to be forwarded to the new owner. No more attempts start for it. Changes
    /// nothing if `epoch` is not newer than the epoch served here.
    pub fn fence(&mut self, partition: Partition, epoch: Epoch) -> Vec<FencedJob<W>> {
        let is_stale = self.partitions.get(&partition).is_some_and(|served| served.epoch < epoch);
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

    /// Stops serving a partition if it is idle, before its release is written. Returns whether
    /// it was idle.
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
