use rpc::{AttemptState, TaskResult};
use types::{Answer, AttemptNumber, UpstreamName};

use crate::{
    JobTerms,
    takeover_agents::ReportedAttempt,
    task::{SentAttempt, Task, TaskState},
};

/// What the reports of the agents prove about one task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskEvidence {
    /// The task continues in this state.
    Open(Task),
    /// The last attempt failed, and the terms of the job allow no other.
    Failed { upstream: UpstreamName, message: String },
    /// An attempt may have started, and its result cannot be determined.
    Unknown,
}

impl TaskEvidence {
    /// Evaluates the reported attempts at a task. `is_memory_complete` states whether every
    /// agent remembers all attempts that it started since the job was accepted.
    pub(crate) fn evaluate(
        terms: &JobTerms,
        attempts: &[&ReportedAttempt],
        is_memory_complete: bool,
    ) -> Self {
        let attempt = attempts.iter().map(|reported| reported.target.key.attempt).max();
        let failures = attempts.iter().filter(|reported| is_failed(reported)).count() as u16;
        let open = |state| {
            Self::Open(Task { attempt: attempt.unwrap_or(AttemptNumber(0)), failures, state })
        };
        if let Some(answer) = attempts.iter().find_map(|reported| answer_of(reported)) {
            return open(TaskState::Answered(answer.clone()));
        }
        if let Some(sent) = attempts.iter().find_map(|reported| in_progress(reported)) {
            return open(TaskState::Sent(sent));
        }
        if !is_memory_complete || attempts.iter().any(|reported| is_unknown(reported)) {
            return Self::Unknown;
        }
        match last_failure(attempts) {
            Some(failure) if !terms.idempotent || failures >= terms.max_attempts => failure,
            _ => open(TaskState::Waiting),
        }
    }
}

fn answer_of(reported: &ReportedAttempt) -> Option<&Answer> {
    match &reported.state {
        AttemptState::Ended(TaskResult::Done(answer)) => Some(answer),
        _ => None,
    }
}

fn in_progress(reported: &ReportedAttempt) -> Option<SentAttempt> {
    match reported.state {
        AttemptState::Queued | AttemptState::Running => {
            Some(SentAttempt { target: reported.target.clone(), is_repeated: true })
        }
        _ => None,
    }
}

fn is_failed(reported: &ReportedAttempt) -> bool {
    matches!(reported.state, AttemptState::Ended(TaskResult::Failed(_)))
}

fn is_unknown(reported: &ReportedAttempt) -> bool {
    matches!(reported.state, AttemptState::AnswerGone | AttemptState::Ended(TaskResult::Unknown(_)))
}

fn last_failure(attempts: &[&ReportedAttempt]) -> Option<TaskEvidence> {
    let last = attempts
        .iter()
        .filter(|reported| is_failed(reported))
        .max_by_key(|reported| reported.target.key.attempt)?;
    match &last.state {
        AttemptState::Ended(TaskResult::Failed(message)) => Some(TaskEvidence::Failed {
            upstream: last.target.upstream.clone(),
            message: message.clone(),
        }),
        _ => None,
    }
}

/// Returns whether an attempt may have started, according to the report of its agent.
pub(crate) fn may_have_started(reported: &ReportedAttempt) -> bool {
    !matches!(
        reported.state,
        AttemptState::NeverStarted | AttemptState::Ended(TaskResult::NotStarted(_))
    )
}
