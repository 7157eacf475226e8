use std::sync::Arc;

use indexmap::IndexMap;
use rpc::{EntryIdentity, OwnedPartition, StartedReport};
use types::{
    Epoch, Failure, Incarnation, JobId, JobOutcome, Partition, PartitionCount, TaskIndex,
    UpstreamName,
};

use crate::{
    AcceptedRecord, AmbiguousPeriod, FinishedRecord, JobRecord, OutcomeClass, OwnershipState,
    RestoredFinishedJob, RestoredJob, RestoredPartition, RestoredState, ServedRecord,
    TableSettings, Tenure,
    takeover_agents::{ReportedAttempt, TakeoverAgents},
    takeover_streams::TakeoverStreams,
    task::{Task, TaskState},
    task_evidence::{TaskEvidence, may_have_started},
};

/// Reconciliation of newly claimed partitions, after the claim was read back: what the
/// former owners recorded and what the agents remember becomes the content of a
/// [`crate::JobTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct Takeover {
    settings: TableSettings,
    count: PartitionCount,
    owned: IndexMap<Partition, Epoch>,
    former: IndexMap<Partition, Vec<Tenure>>,
    claimed_ms: u64,
    streams: TakeoverStreams,
    agents: TakeoverAgents,
}

impl Takeover {
    /// Begins the takeover of partitions that `ownership` names this entry the owner of.
    /// `claimed_ms` is the time in Unix milliseconds at which the claim was read back.
    pub fn new(
        settings: TableSettings,
        count: PartitionCount,
        owned: &[OwnedPartition],
        ownership: &OwnershipState,
        claimed_ms: u64,
    ) -> Self {
        let former: IndexMap<_, _> = owned
            .iter()
            .map(|part| (part.partition, ownership.previous_tenures(part.partition).to_vec()))
            .collect();
        let mut streams = TakeoverStreams::default();
        former.values().flatten().for_each(|tenure| streams.expect(&tenure.owner));
        Self {
            settings,
            count,
            owned: owned.iter().map(|part| (part.partition, part.epoch)).collect(),
            former,
            claimed_ms,
            streams,
            agents: TakeoverAgents::default(),
        }
    }

    /// Lists the former owners whose job records are still to be read to their end.
    pub fn unread_streams(&self) -> Vec<&EntryIdentity> {
        self.streams.unread().collect()
    }

    /// Takes one record of a former owner's stream; records come in stream order.
    pub fn add_record(&mut self, owner: &EntryIdentity, record: JobRecord) {
        let (owned, count) = (&self.owned, self.count);
        let is_taken_over = |id| owned.contains_key(&Partition::of(id, count));
        self.streams.record(owner, record, is_taken_over);
    }

    /// Notes that a former owner's stream was read to its end after the claim was read
    /// back.  `is_complete` is false when retention has cut records of the window.
    pub fn on_stream_read(&mut self, owner: &EntryIdentity, is_complete: bool) {
        self.streams.end(owner, is_complete);
    }

    /// Adds an upstream whose agent may have started something for these partitions: all
    /// that are in service, and those that left or vanished while the former owners
    /// served.
    pub fn expect_agent(&mut self, upstream: UpstreamName) {
        self.agents.expect(upstream);
    }

    /// Returns the partitions with the epochs to ask agents about.
    pub fn owned(&self) -> Vec<OwnedPartition> {
        self.owned
            .iter()
            .map(|(partition, epoch)| OwnedPartition { partition: *partition, epoch: *epoch })
            .collect()
    }

    /// Takes an agent's report, received at `now_ms`, on a question about `asked`.  A
    /// repeated report, or one on a question of another takeover, changes nothing.
    pub fn on_agent_report(
        &mut self,
        upstream: &UpstreamName,
        asked: &[OwnedPartition],
        report: StartedReport,
        now_ms: u64,
    ) {
        if !self.owned().iter().all(|part| asked.contains(part)) {
            return;
        }
        let (owned, count) = (&self.owned, self.count);
        let is_taken_over = |id| owned.contains_key(&Partition::of(id, count));
        self.agents.report(upstream, report, is_taken_over, now_ms);
    }

    /// Lists the upstreams whose agents have not answered.
    pub fn unanswered_agents(&self) -> Vec<&UpstreamName> {
        self.agents.unanswered().collect()
    }

    /// Returns the time in Unix milliseconds from which on service may begin; absent until
    /// more than half of the agents have answered.
    ///
    /// A former owner that did not release is confirmed by the claims or by more than half
    /// of the agents, and starts nothing when its last confirmation is older than
    /// [`TableSettings::confirmation_validity_ms`].
    pub fn serve_from_ms(&self) -> Option<u64> {
        let is_released = |tenures: &Vec<Tenure>| tenures.last().is_none_or(|last| last.released);
        if self.former.values().all(is_released) {
            return Some(self.claimed_ms);
        }
        let fenced_ms = self.agents.majority_ms()?.max(self.claimed_ms);
        Some(fenced_ms.saturating_add(self.settings.confirmation_validity_ms))
    }

    /// Notes the incarnation that an agent now has, before the agent takes work under it.
    pub fn on_agent_incarnation(&mut self, upstream: &UpstreamName, agent: Incarnation) {
        self.agents.seen(upstream, agent);
    }

    /// Ends the takeover at `now_ms`.  Streams that were not read and agents that have not
    /// answered widen what counts as unknown.
    ///
    /// # Errors
    ///
    /// Gives the takeover back before [`Takeover::serve_from_ms`].
    pub fn finish(self, now_ms: u64) -> Result<RestoredState, Box<Self>> {
        match self.serve_from_ms() {
            Some(serve_from_ms) if serve_from_ms <= now_ms => Ok(self.reconcile(now_ms)),
            _ => Err(Box::new(self)),
        }
    }

    fn reconcile(mut self, now_ms: u64) -> RestoredState {
        let oldest_ms = now_ms.saturating_sub(self.settings.retention_ms());
        let mut restored =
            RestoredState { partitions: self.partitions(), ..RestoredState::default() };
        restored.records.push(self.served_record());
        let finished = std::mem::take(&mut self.streams.finished);
        let accepted = std::mem::take(&mut self.streams.accepted);
        let is_remembered = |id: &JobId| id.created_ms() >= oldest_ms;
        let (ended, open): (IndexMap<_, _>, IndexMap<_, _>) =
            accepted.into_iter().filter(|(id, _)| is_remembered(id)).partition(|(id, accepted)| {
                finished.get(id).is_some_and(|end| end.epoch >= accepted.owned.epoch)
            });
        for (id, end) in finished.into_iter().filter(|(id, _)| is_remembered(id)) {
            if !open.contains_key(&id) {
                let attempts = self.agents.take(id);
                restored.finished.push(restore_end(end, ended.get(&id), &attempts));
            }
        }
        for accepted in open.into_values() {
            self.restore_open(accepted, &mut restored);
        }
        for (id, attempts) in self.agents.take_rest() {
            if is_remembered(&id) && attempts.iter().any(may_have_started) {
                restored.unrecorded.push(id);
                restored.recall.extend(attempts.iter().filter(|a| is_under_way(a)).map(target));
            }
        }
        restored
    }

    fn served_record(&self) -> JobRecord {
        JobRecord::Served(ServedRecord {
            owned: self.owned(),
            serve_from_ms: self.serve_from_ms().unwrap_or(u64::MAX),
        })
    }

    fn partitions(&self) -> Vec<RestoredPartition> {
        self.owned
            .iter()
            .map(|(partition, epoch)| RestoredPartition {
                owned: OwnedPartition { partition: *partition, epoch: *epoch },
                ambiguous_periods: self.ambiguous(*partition),
            })
            .collect()
    }

    /// Returns the creation times of ids that a former owner may have started without a
    /// durable record.
    fn ambiguous(&self, partition: Partition) -> Vec<AmbiguousPeriod> {
        let tenures = &self.former[&partition];
        tenures
            .iter()
            .enumerate()
            .filter_map(|(n, tenure)| self.ambiguous_of(partition, tenure, &tenures[n + 1..]))
            .collect()
    }

    fn ambiguous_of(
        &self,
        partition: Partition,
        tenure: &Tenure,
        later: &[Tenure],
    ) -> Option<AmbiguousPeriod> {
        let progress = self.streams.progress(&tenure.owner);
        if progress.is_complete && tenure.released {
            return None;
        }
        let recorded_until_ms = match progress.is_complete {
            true => progress.last_accepted_ms.unwrap_or_default().max(tenure.claimed_ms),
            false => 0,
        };
        if self.agents.remember_since(recorded_until_ms.saturating_sub(self.settings.clock_skew_ms))
        {
            return None;
        }
        let replaced_ms = later
            .iter()
            .find_map(|next| self.streams.served_ms(partition, next.epoch))
            .or(self.serve_from_ms())
            .unwrap_or(u64::MAX);
        let ambiguity = AmbiguousPeriod {
            from_ms: recorded_until_ms.saturating_sub(self.settings.late_submission_ms),
            until_ms: replaced_ms.saturating_add(self.settings.clock_skew_ms),
        };
        (ambiguity.from_ms < ambiguity.until_ms).then_some(ambiguity)
    }

    fn restore_open(&mut self, accepted: AcceptedRecord, restored: &mut RestoredState) {
        let attempts = self.agents.take(accepted.terms.id);
        let since_ms = accepted.terms.accepted_ms.saturating_sub(self.settings.clock_skew_ms);
        let is_covered = self.agents.remember_since(since_ms);
        let partition = accepted.owned.partition;
        let epoch = self.owned.get(&partition).copied().unwrap_or_default();
        match weigh(&accepted, &attempts, is_covered) {
            Ok(tasks) => match complete(&tasks) {
                Some(outcome) => end_now(&accepted, epoch, outcome, restored),
                None => restored.jobs.push(restore_job(accepted, epoch, tasks)),
            },
            Err(failure) => {
                let outcome = JobOutcome::Failed { failure, not_run: false };
                end_now(&accepted, epoch, outcome, restored);
                restored.recall.extend(attempts.iter().filter(|a| is_under_way(a)).map(target));
            }
        }
    }
}

/// Weighs every task of a job; the first that cannot continue fails the job.
fn weigh(
    accepted: &AcceptedRecord,
    attempts: &[ReportedAttempt],
    is_covered: bool,
) -> Result<Vec<Task>, Failure> {
    let mut by_task: Vec<Vec<&ReportedAttempt>> = vec![Vec::new(); accepted.terms.tasks as usize];
    for reported in attempts {
        if let Some(task) = by_task.get_mut(reported.target.key.task.index.0 as usize) {
            task.push(reported);
        }
    }
    (0..)
        .map(TaskIndex)
        .zip(&by_task)
        .map(|(index, attempts)| match TaskEvidence::of(&accepted.terms, attempts, is_covered) {
            TaskEvidence::Open(task) => Ok(task),
            TaskEvidence::Failed { upstream, message } => {
                Err(Failure::TaskFailed { index: index.0, upstream, message })
            }
            TaskEvidence::Unknown => Err(Failure::OutcomeUnknown { index: index.0 }),
        })
        .collect()
}

/// Returns the outcome of a job whose tasks are all answered.
fn complete(tasks: &[Task]) -> Option<JobOutcome> {
    let answers: Option<Vec<_>> = tasks
        .iter()
        .map(|task| match &task.state {
            TaskState::Answered(answer) => Some(answer.clone()),
            TaskState::Waiting | TaskState::Sent(_) => None,
        })
        .collect();
    answers.map(|answers| JobOutcome::Complete { answers })
}

fn restore_job(accepted: AcceptedRecord, epoch: Epoch, tasks: Vec<Task>) -> RestoredJob {
    let starts = |task: &Task| {
        let is_waiting = task.state == TaskState::Waiting;
        u32::from(task.failures) + u32::from(!is_waiting)
    };
    RestoredJob {
        owned: OwnedPartition { partition: accepted.owned.partition, epoch },
        possible_starts: tasks.iter().map(starts).sum(),
        terms: accepted.terms,
        payloads: accepted.payloads,
        tasks,
    }
}

/// Restores a job that had ended, with its answer where the agents still hold all of it.
fn restore_end(
    end: FinishedRecord,
    accepted: Option<&AcceptedRecord>,
    attempts: &[ReportedAttempt],
) -> RestoredFinishedJob {
    let outcome = accepted
        .filter(|_| end.class == OutcomeClass::Complete)
        .and_then(|accepted| weigh(accepted, attempts, true).ok())
        .and_then(|tasks| complete(&tasks));
    RestoredFinishedJob {
        id: end.id,
        team: end.team,
        digest: end.digest,
        outcome: outcome.map(Arc::new),
    }
}

/// Ends a job by the takeover itself.
fn end_now(
    accepted: &AcceptedRecord,
    epoch: Epoch,
    outcome: JobOutcome,
    restored: &mut RestoredState,
) {
    let terms = &accepted.terms;
    let record = FinishedRecord {
        id: terms.id,
        team: terms.team.clone(),
        digest: terms.digest,
        epoch,
        class: OutcomeClass::of(&outcome),
    };
    restored.records.push(JobRecord::Finished(record));
    restored.finished.push(RestoredFinishedJob {
        id: terms.id,
        team: terms.team.clone(),
        digest: terms.digest,
        outcome: Some(Arc::new(outcome)),
    });
}

fn is_under_way(reported: &ReportedAttempt) -> bool {
    matches!(reported.state, rpc::AttemptState::Queued | rpc::AttemptState::Running)
}

fn target(reported: &ReportedAttempt) -> crate::AttemptRef {
    reported.target.clone()
}
