//! Attempts at the tasks of a [`JobTable`]: start, resend and result.

use rpc::{NotStarted, TaskResult};
use services::Acceptance;
use types::{AttemptKey, Failure, Incarnation, JobId, TaskKey, UpstreamName};

use crate::{
    AttemptEffects, AttemptRef, AttemptResult, DropReason, JobTable, RetryDecision, StartError,
    StartPermit,
    job::{Job, Phase},
    task::{SentAttempt, TaskState},
};

impl<W> JobTable<W> {
    /// Checks whether the next attempt at a task may begin at `now_ms`, without changing
    /// anything.
    ///
    /// # Errors
    ///
    /// The same as those of [`JobTable::begin_attempt`].
    pub fn check_begin(&self, key: TaskKey, now_ms: u64) -> Result<(), StartError> {
        let is_confirmed = self.is_job_confirmed(key.job, now_ms);
        let job = self.live.get(&key.job).ok_or(StartError::NoSuchJob)?;
        check_start(job, is_confirmed, now_ms)?;
        let task = job.tasks.get(key.index.0 as usize).ok_or(StartError::NoSuchTask)?;
        match task.state {
            TaskState::Waiting => Ok(()),
            TaskState::Sent(_) | TaskState::Answered(_) => Err(StartError::NotWaiting),
        }
    }

    /// Begins the next attempt at a task. Call this before sending the message to the agent:
    /// from now on the attempt counts as possibly started.
    ///
    /// # Errors
    ///
    /// Returns the reason when the task must not be started at `now_ms`; the table is unchanged
    /// then.
    pub fn begin_attempt(
        &mut self,
        key: TaskKey,
        upstream: UpstreamName,
        agent: Incarnation,
        now_ms: u64,
    ) -> Result<StartPermit, StartError> {
        self.check_begin(key, now_ms)?;
        let job = self.live.get_mut(&key.job).ok_or(StartError::NoSuchJob)?;
        let task = job.task_mut(key.index).ok_or(StartError::NoSuchTask)?;
        task.attempt = task.attempt.next();
        let key = AttemptKey { task: key, attempt: task.attempt };
        let target = AttemptRef { key, upstream, agent };
        task.state = TaskState::Sent(SentAttempt { target, is_repeated: false });
        job.possible_starts += 1;
        Ok(start_permit(job, key))
    }

    /// Permits another transmission of an attempt to the same agent, which joins the
    /// transmission to the existing attempt. From then on, a refusal of one transmission does
    /// not prove that no earlier one started the attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason when the attempt must not be sent at `now_ms`; the table is unchanged
    /// then.
    pub fn resend_attempt(
        &mut self,
        key: AttemptKey,
        upstream: &UpstreamName,
        now_ms: u64,
    ) -> Result<StartPermit, StartError> {
        let is_confirmed = self.is_job_confirmed(key.task.job, now_ms);
        let job = self.live.get_mut(&key.task.job).ok_or(StartError::NoSuchJob)?;
        check_start(job, is_confirmed, now_ms)?;
        let sent = job.sent_attempt_mut(key, upstream).map_err(|_| StartError::NotSent)?;
        sent.is_repeated = true;
        Ok(start_permit(job, key))
    }

    /// Applies the result of an attempt and returns what the caller has to do next. Results of
    /// earlier attempts, of requests under another epoch and of jobs that are not in progress
    /// are dropped.
    pub fn on_attempt_result(
        &mut self,
        attempt_result: AttemptResult,
        decision: RetryDecision,
        now_ms: u64,
    ) -> AttemptEffects<W> {
        let AttemptResult { key, epoch, upstream, result } = attempt_result;
        let Some(job) = self.live.get_mut(&key.task.job) else {
            return AttemptEffects::Dropped(DropReason::NoSuchJob);
        };
        if job.owned.epoch != epoch {
            return AttemptEffects::Dropped(DropReason::OtherEpoch);
        }
        let is_repeated = match job.sent_attempt_mut(key, &upstream) {
            Ok(sent) => sent.is_repeated,
            Err(reason) => return AttemptEffects::Dropped(reason),
        };
        match result {
            TaskResult::Done(answer) => self.on_task_answered(key.task, answer, now_ms),
            TaskResult::Failed(message) => {
                self.on_task_failed(key.task, &upstream, message, decision, now_ms)
            }
            TaskResult::NotStarted(reason) => {
                self.on_task_not_started(key.task, &reason, is_repeated, decision, now_ms)
            }
            TaskResult::Unknown(_) => self.on_task_unknown(key.task, now_ms),
        }
    }

    fn is_job_confirmed(&self, id: JobId, now_ms: u64) -> bool {
        self.live.get(&id).is_some_and(|job| self.is_confirmed(job.owned.partition, now_ms))
    }

    fn on_task_answered(
        &mut self,
        key: TaskKey,
        answer: types::Answer,
        now_ms: u64,
    ) -> AttemptEffects<W> {
        let job = &mut self.live[&key.job];
        job.tasks[key.index.0 as usize].state = TaskState::Answered(answer);
        job.unanswered -= 1;
        match job.unanswered {
            0 => self
                .complete(key.job, now_ms)
                .map_or(AttemptEffects::Pending, AttemptEffects::Finished),
            _ => AttemptEffects::Pending,
        }
    }

    fn on_task_failed(
        &mut self,
        key: TaskKey,
        upstream: &UpstreamName,
        message: String,
        decision: RetryDecision,
        now_ms: u64,
    ) -> AttemptEffects<W> {
        let job = &mut self.live[&key.job];
        let task = &mut job.tasks[key.index.0 as usize];
        task.failures = task.failures.saturating_add(1);
        task.state = TaskState::Waiting;
        let may_retry = job.may_retry(key.index) && !job.is_exhausted(key.index);
        match decision {
            RetryDecision::Retry if may_retry => AttemptEffects::Dispatch(key),
            RetryDecision::Retry | RetryDecision::GiveUp => {
                let upstream = upstream.clone();
                let failure = Failure::TaskFailed { index: key.index.0, upstream, message };
                self.fail_task(key, failure, now_ms)
            }
        }
    }

    fn on_task_not_started(
        &mut self,
        key: TaskKey,
        reason: &NotStarted,
        is_repeated: bool,
        decision: RetryDecision,
        now_ms: u64,
    ) -> AttemptEffects<W> {
        let job = &mut self.live[&key.job];
        let owned = job.owned;
        match reason {
            NotStarted::StaleEpoch if is_repeated => return AttemptEffects::OwnerStale(owned),
            NotStarted::OtherIncarnation if is_repeated => {
                return self.on_task_unknown(key, now_ms);
            }
            _ => {}
        }
        job.tasks[key.index.0 as usize].state = TaskState::Waiting;
        job.possible_starts -= 1;
        let is_exhausted = job.is_exhausted(key.index);
        match (reason, decision) {
            (NotStarted::StaleEpoch, _) => AttemptEffects::OwnerStale(owned),
            (_, RetryDecision::Retry) if !is_exhausted => AttemptEffects::Dispatch(key),
            (NotStarted::Expired, _) => self.fail_task(key, Failure::DeadlineExceeded, now_ms),
            (_, _) => self.fail_task(key, Failure::NoUpstream, now_ms),
        }
    }

    fn on_task_unknown(&mut self, key: TaskKey, now_ms: u64) -> AttemptEffects<W> {
        self.fail_task(key, Failure::OutcomeUnknown { index: key.index.0 }, now_ms)
    }

    fn fail_task(&mut self, key: TaskKey, failure: Failure, now_ms: u64) -> AttemptEffects<W> {
        self.fail(key.job, failure, now_ms)
            .map_or(AttemptEffects::Dropped(DropReason::NoSuchJob), AttemptEffects::Finished)
    }
}

fn check_start<W>(job: &Job<W>, is_confirmed: bool, now_ms: u64) -> Result<(), StartError> {
    if now_ms >= job.terms.deadline_ms {
        return Err(StartError::DeadlinePassed);
    }
    if !is_confirmed {
        return Err(StartError::Unconfirmed);
    }
    match (job.phase, job.terms.acceptance) {
        (Phase::Orphaned, _) => Err(StartError::NotWaiting),
        (Phase::Unrecorded, Acceptance::BeforeStart) => Err(StartError::NotRecorded),
        (Phase::Unrecorded, Acceptance::Behind) | (Phase::Recorded, _) => Ok(()),
    }
}

fn start_permit<W>(job: &Job<W>, key: AttemptKey) -> StartPermit {
    let payload = job.payloads[key.task.index.0 as usize].clone();
    StartPermit { key, owned: job.owned, payload }
}
