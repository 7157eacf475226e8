use types::{Answer, AttemptNumber};

use crate::AttemptRef;

/// One task of a job in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Task {
    /// Number of the latest attempt; 0 before the first attempt.
    pub(crate) attempt: AttemptNumber,
    /// Number of attempts that started and failed.
    pub(crate) failures: u16,
    pub(crate) state: TaskState,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskState {
    /// No attempt is in progress.
    Waiting,
    /// An attempt was sent, and its result is not known.
    Sent(SentAttempt),
    /// An attempt succeeded with this answer.
    Answered(Answer),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SentAttempt {
    pub(crate) target: AttemptRef,
    /// Whether the attempt was sent more than once. A refusal of the latest transmission then
    /// does not prove that no earlier one started it.
    pub(crate) is_repeated: bool,
}

impl Task {
    pub(crate) fn new() -> Self {
        Self { attempt: AttemptNumber(0), failures: 0, state: TaskState::Waiting }
    }
}
