use std::mem::size_of;

use rpc::OwnedPartition;
use types::{AttemptKey, AttemptNumber, JobOutcome, Payload, TaskIndex, UpstreamName};

use crate::{
    AttemptRef, DropReason, JobTerms, ResumePlan, ResumeStep,
    task::{SentAttempt, Task, TaskState},
};

/// Progress of the acceptance of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The acceptance record is not durable yet.
    Unrecorded,
    /// The acceptance record is durable, and the claims, read after that, still named this
    /// entry as the owner.
    Recorded,
    /// Restored at a takeover without payloads; waits for a resubmission.
    Orphaned,
}

/// A job in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Job<W> {
    pub(crate) terms: JobTerms,
    pub(crate) owned: OwnedPartition,
    pub(crate) phase: Phase,
    pub(crate) payloads: Vec<Payload>,
    pub(crate) wait: bool,
    pub(crate) tasks: Vec<Task>,
    pub(crate) unanswered: u32,
    /// Number of attempts that started or may have started.
    pub(crate) possible_starts: u32,
    pub(crate) waiters: Vec<W>,
}

impl<W> Job<W> {
    pub(crate) fn task_mut(&mut self, index: TaskIndex) -> Option<&mut Task> {
        self.tasks.get_mut(index.0 as usize)
    }

    /// Returns the current attempt at a task if `key` and `upstream` identify it, and otherwise
    /// the reason why they do not.
    pub(crate) fn sent_attempt_mut(
        &mut self,
        key: AttemptKey,
        upstream: &UpstreamName,
    ) -> Result<&mut SentAttempt, DropReason> {
        let task = self.task_mut(key.task.index).ok_or(DropReason::NoSuchTask)?;
        match &mut task.state {
            TaskState::Sent(sent) if sent.target.key != key => Err(DropReason::OtherAttempt),
            TaskState::Sent(sent) if sent.target.upstream != *upstream => {
                Err(DropReason::OtherUpstream)
            }
            TaskState::Sent(sent) => Ok(sent),
            TaskState::Waiting | TaskState::Answered(_) => Err(DropReason::OtherAttempt),
        }
    }

    /// Returns whether another attempt at a task may follow its failed ones.
    pub(crate) fn may_retry(&self, index: TaskIndex) -> bool {
        let failures = self.tasks[index.0 as usize].failures;
        self.terms.idempotent && failures < self.terms.max_attempts
    }

    /// Returns whether no further attempt number is available.
    pub(crate) fn is_exhausted(&self, index: TaskIndex) -> bool {
        self.tasks[index.0 as usize].attempt == AttemptNumber(u16::MAX)
    }

    pub(crate) fn sent_attempts(&self) -> Vec<AttemptRef> {
        self.tasks
            .iter()
            .filter_map(|task| match &task.state {
                TaskState::Sent(sent) => Some(sent.target.clone()),
                TaskState::Waiting | TaskState::Answered(_) => None,
            })
            .collect()
    }

    /// Moves the answers out of a job whose tasks are all answered.
    pub(crate) fn take_outcome(&mut self) -> JobOutcome {
        let answers = std::mem::take(&mut self.tasks)
            .into_iter()
            .filter_map(|task| match task.state {
                TaskState::Answered(answer) => Some(answer),
                TaskState::Waiting | TaskState::Sent(_) => None,
            })
            .collect();
        JobOutcome::Complete { answers }
    }

    pub(crate) fn resume_plan(&self) -> ResumePlan {
        let steps = (0..).map(TaskIndex).zip(&self.tasks).map(|(index, task)| match &task.state {
            TaskState::Waiting => ResumeStep::Dispatch(index),
            TaskState::Sent(sent) => ResumeStep::JoinAttempt(sent.target.clone()),
            TaskState::Answered(_) => ResumeStep::AlreadyAnswered(index),
        });
        ResumePlan { id: self.terms.id, steps: steps.collect() }
    }

    /// Returns the bytes that the job occupies, excluding its answers.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Self>()
            + self.tasks.len() * size_of::<Task>()
            + self
                .payloads
                .iter()
                .map(|payload| size_of::<Payload>() + payload.len())
                .sum::<usize>()
    }
}
