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

/// Takeover of newly claimed partitions. It starts after the claim was read back from the log,
/// and combines the job records of the previous owners with the reports of the agents into the
/// state that a [`crate::JobTable`] restores.
#[derive(Clone, Debug, PartialEq)]
pub struct Takeover {
    settings: TableSettings,
    count: PartitionCount,
    owned: IndexMap<Partition, Epoch>,
    previous_tenures: IndexMap<Partition, Vec<Tenure>>,
    claimed_ms: u64,
    streams: TakeoverStreams,
    agents: TakeoverAgents,
}

impl Takeover {
    /// Begins the takeover of partitions that this entry owns according to `ownership`.
    /// `claimed_ms` is the time in Unix milliseconds at which the claim was read back.
    pub fn new(
        settings: TableSettings,
        count: PartitionCount,
        owned: &[OwnedPartition],
        ownership: &OwnershipState,
        claimed_ms: u64,
    ) -> Self {
        let previous_tenures: IndexMap<_, _> = owned
            .iter()
            .map(|part| (part.partition, ownership.previous_tenures(part.partition).to_vec()))
            .collect();
        let mut streams = TakeoverStreams::default();
        previous_tenures.values().flatten().for_each(|tenure| streams.add_owner(&tenure.owner));
        Self {
            settings,
            count,
            owned: owned.iter().map(|part| (part.partition, part.epoch)).collect(),
            previous_tenures,
            claimed_ms,
            streams,
            agents: TakeoverAgents::default(),
        }
    }

    /// Lists the previous owners whose job records have not been read to their end.
    pub fn unread_streams(&self) -> Vec<&EntryIdentity> {
        self.streams.unread().collect()
    }

    /// Adds one record of a previous owner's stream. Records must be added in stream order.
    pub fn add_record(&mut self, owner: &EntryIdentity, record: JobRecord) {
        let (owned, count) = (&self.owned, self.count);
        let is_taken_over = |id| owned.contains_key(&Partition::of(id, count));
        self.streams.add_record(owner, record, is_taken_over);
    }

    /// Marks a previous owner's stream as read to its end; the end must have been determined
    /// after the claim was read back. `is_complete` is false when retention has removed records
    /// of the window.
    pub fn on_stream_read(&mut self, owner: &EntryIdentity, is_complete: bool) {
        self.streams.mark_read(owner, is_complete);
    }

    /// Adds an upstream whose agent may have started attempts for these partitions: every
    /// upstream in service, and every one that left or disappeared while the previous owners
    /// served the partitions.
    pub fn expect_agent(&mut self, upstream: UpstreamName) {
        self.agents.add_upstream(upstream);
    }

    /// Returns the partitions and epochs that agents are queried about.
    pub fn owned(&self) -> Vec<OwnedPartition> {
        self.owned
            .iter()
            .map(|(partition, epoch)| OwnedPartition { partition: *partition, epoch: *epoch })
            .collect()
    }

    /// Applies an agent's report, received at `now_ms` in reply to a query about `queried`. A
    /// second report of the same incarnation, or a reply to the query of another takeover,
    /// changes nothing.
    pub fn on_agent_report(
        &mut self,
        upstream: &UpstreamName,
        queried: &[OwnedPartition],
        report: StartedReport,
        now_ms: u64,
    ) {
        if !self.owned().iter().all(|part| queried.contains(part)) {
            return;
        }
        let (owned, count) = (&self.owned, self.count);
        let is_taken_over = |id| owned.contains_key(&Partition::of(id, count));
        self.agents.add_report(upstream, report, is_taken_over, now_ms);
    }

    /// Lists the upstreams whose agents have not reported.
    pub fn unanswered_agents(&self) -> Vec<&UpstreamName> {
        self.agents.unanswered().collect()
    }

    /// Returns the time in Unix milliseconds from which on the partitions may be served; `None`
    /// until more than half of the agents have reported, unless the previous owners released
    /// all partitions.
    ///
    /// A previous owner that did not release its partitions confirms its ownership by the
    /// claims or by more than half of the agents, and starts nothing once its last confirmation
    /// is older than [`TableSettings::confirmation_validity_ms`].
    pub fn serve_from_ms(&self) -> Option<u64> {
        let is_released = |tenures: &Vec<Tenure>| tenures.last().is_none_or(|last| last.released);
        if self.previous_tenures.values().all(is_released) {
            return Some(self.claimed_ms);
        }
        let fenced_ms = self.agents.majority_reported_ms()?.max(self.claimed_ms);
        Some(fenced_ms.saturating_add(self.settings.confirmation_validity_ms))
    }

    /// Records the current incarnation of an agent. A restarted agent has to report again; call
    /// this before the agent accepts attempts under the new incarnation.
    pub fn on_agent_incarnation(&mut self, upstream: &UpstreamName, agent: Incarnation) {
        self.agents.set_incarnation(upstream, agent);
    }

    /// Ends the takeover at `now_ms`. Unread streams and agents that have not reported increase
    /// the set of jobs whose outcome is unknown.
    ///
    /// # Errors
    ///
    /// Returns the takeover unchanged before the time given by [`Takeover::serve_from_ms`].
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
        let is_retained = |id: &JobId| id.created_ms() >= oldest_ms;
        let (ended, unfinished): (IndexMap<_, _>, IndexMap<_, _>) =
            accepted.into_iter().filter(|(id, _)| is_retained(id)).partition(|(id, accepted)| {
                finished.get(id).is_some_and(|record| record.epoch >= accepted.owned.epoch)
            });
        for (id, record) in finished.into_iter().filter(|(id, _)| is_retained(id)) {
            if !unfinished.contains_key(&id) {
                let attempts = self.agents.take_attempts(id);
                restored.finished.push(restore_finished(record, ended.get(&id), &attempts));
            }
        }
        for accepted in unfinished.into_values() {
            self.restore_unfinished(accepted, &mut restored);
        }
        for (id, attempts) in self.agents.take_remaining() {
            if is_retained(&id) && attempts.iter().any(may_have_started) {
                restored.unrecorded.push(id);
                restored
                    .recall
                    .extend(attempts.iter().filter(|a| is_in_progress(a)).map(target_of));
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
                ambiguous_periods: self.ambiguous_periods(*partition),
            })
            .collect()
    }

    /// Returns, for each previous tenure of a partition, the creation times of job ids that its
    /// owner may have started without a durable record.
    fn ambiguous_periods(&self, partition: Partition) -> Vec<AmbiguousPeriod> {
        let tenures = &self.previous_tenures[&partition];
        tenures
            .iter()
            .enumerate()
            .filter_map(|(n, tenure)| self.ambiguous_period(partition, tenure, &tenures[n + 1..]))
            .collect()
    }

    fn ambiguous_period(
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
        if self
            .agents
            .all_remember_since(recorded_until_ms.saturating_sub(self.settings.clock_skew_ms))
        {
            return None;
        }
        let replaced_ms = later
            .iter()
            .find_map(|next| self.streams.served_ms(partition, next.epoch))
            .or(self.serve_from_ms())
            .unwrap_or(u64::MAX);
        let period = AmbiguousPeriod {
            from_ms: recorded_until_ms.saturating_sub(self.settings.late_submission_ms),
            until_ms: replaced_ms.saturating_add(self.settings.clock_skew_ms),
        };
        (period.from_ms < period.until_ms).then_some(period)
    }

    fn restore_unfinished(&mut self, accepted: AcceptedRecord, restored: &mut RestoredState) {
        let attempts = self.agents.take_attempts(accepted.terms.id);
        let since_ms = accepted.terms.accepted_ms.saturating_sub(self.settings.clock_skew_ms);
        let is_memory_complete = self.agents.all_remember_since(since_ms);
        let partition = accepted.owned.partition;
        let epoch = self.owned.get(&partition).copied().unwrap_or_default();
        match evaluate_tasks(&accepted, &attempts, is_memory_complete) {
            Ok(tasks) => match complete_outcome(&tasks) {
                Some(outcome) => finish_job(&accepted, epoch, outcome, restored),
                None => restored.jobs.push(restore_job(accepted, epoch, tasks)),
            },
            Err(failure) => {
                let outcome = JobOutcome::Failed { failure, not_run: false };
                finish_job(&accepted, epoch, outcome, restored);
                restored
                    .recall
                    .extend(attempts.iter().filter(|a| is_in_progress(a)).map(target_of));
            }
        }
    }
}

/// Derives the state of every task of a job from the reported attempts. The first task that
/// cannot continue fails the job.
fn evaluate_tasks(
    accepted: &AcceptedRecord,
    attempts: &[ReportedAttempt],
    is_memory_complete: bool,
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
        .map(|(index, attempts)| {
            match TaskEvidence::evaluate(&accepted.terms, attempts, is_memory_complete) {
                TaskEvidence::Open(task) => Ok(task),
                TaskEvidence::Failed { upstream, message } => {
                    Err(Failure::TaskFailed { index: index.0, upstream, message })
                }
                TaskEvidence::Unknown => Err(Failure::OutcomeUnknown { index: index.0 }),
            }
        })
        .collect()
}

/// Returns the outcome of a job if all its tasks are answered.
fn complete_outcome(tasks: &[Task]) -> Option<JobOutcome> {
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

/// Restores a finished job, with its answers if the agents still hold all of them.
fn restore_finished(
    record: FinishedRecord,
    accepted: Option<&AcceptedRecord>,
    attempts: &[ReportedAttempt],
) -> RestoredFinishedJob {
    let outcome = accepted
        .filter(|_| record.class == OutcomeClass::Complete)
        .and_then(|accepted| evaluate_tasks(accepted, attempts, true).ok())
        .and_then(|tasks| complete_outcome(&tasks));
    RestoredFinishedJob {
        id: record.id,
        team: record.team,
        digest: record.digest,
        outcome: outcome.map(Arc::new),
    }
}

/// Records the outcome of a job that the takeover itself finishes.
fn finish_job(
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

fn is_in_progress(reported: &ReportedAttempt) -> bool {
    matches!(reported.state, rpc::AttemptState::Queued | rpc::AttemptState::Running)
}

fn target_of(reported: &ReportedAttempt) -> crate::AttemptRef {
    reported.target.clone()
}
