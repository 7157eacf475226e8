use thiserror::Error;

use crate::{EntryName, KindName, ServiceName};

crate::wire! {
    /// Reason why a request was refused.  [`Refusal::not_run`] returns whether it is certain
    /// that no task of the request ran.
    #[derive(Eq, Error)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// The service does not exist, or the team may not use it.
        #[error("no service `{0}`")]
        UnknownService(ServiceName),
        /// The service does not have the kind.
        #[error("service has no kind `{0}`")]
        UnknownKind(KindName),
        /// The request is malformed.
        #[error("{0}")]
        Invalid(String),
        /// The job id was used before for a submission with other content.
        #[error("job id was used before with other content")]
        Conflict,
        /// The job id is older than the window in which submissions are remembered.
        #[error("job id is older than the window of {window_ms} ms")]
        Expired {
            /// Window in milliseconds.
            window_ms: u64,
        },
        /// The creation time in the job id is too far in the future.
        #[error("job id was created in the future; check the caller's clock")]
        FutureId,
        /// The job does not exist, or it belongs to another team.
        #[error("no such job")]
        UnknownJob,
        /// The answer is no longer retained.
        #[error("the answer is no longer kept")]
        AnswerGone,
        /// The team's quota is used up.
        #[error("quota of the team is used up")]
        QuotaExceeded {
            /// Milliseconds after which a retry can help.
            retry_after_ms: u64,
        },
        /// The deadline cannot be met under the present load.
        #[error("deadline cannot be met under the present load")]
        Overloaded {
            /// Milliseconds after which a retry can help.
            retry_after_ms: u64,
        },
        /// No upstream of the service could ever run the job.
        #[error("job can never run: {0}")]
        NeverFits(String),
        /// The log is not available and the kind requires a durable acceptance.
        #[error("log is not available and the kind requires a durable acceptance")]
        LogUnavailable {
            /// Milliseconds after which a retry can help.
            retry_after_ms: u64,
        },
        /// The entry is stopping.
        #[error("entry is stopping")]
        Draining,
        /// Ownership of the job is being transferred.
        #[error("owner of the job is being replaced")]
        OwnerChanging {
            /// Milliseconds after which a retry can help.
            retry_after_ms: u64,
        },
        /// The owner of the job did not answer; whether it handled the request is unknown.
        #[error("owner {owner} of the job did not answer; the outcome is unknown")]
        OwnerUnreachable {
            /// The owning entry.
            owner: EntryName,
        },
        /// The submission may have run before a takeover, and the records of it are lost.
        #[error("the submission may have run before its owner was lost")]
        OutcomeUnknown,
    }
}

impl Refusal {
    /// Returns whether it is certain that no task of the request ran.
    pub fn not_run(&self) -> bool {
        !matches!(
            self,
            Self::Conflict
                | Self::Expired { .. }
                | Self::UnknownJob
                | Self::AnswerGone
                | Self::OwnerChanging { .. }
                | Self::OwnerUnreachable { .. }
                | Self::OutcomeUnknown
        )
    }

    /// Returns a short name of the reason, for metrics and problem types.
    pub fn label(&self) -> &'static str {
        match self {
            Self::UnknownService(_) => "unknown-service",
            Self::UnknownKind(_) => "unknown-kind",
            Self::Invalid(_) => "invalid-request",
            Self::Conflict => "id-conflict",
            Self::Expired { .. } => "id-expired",
            Self::FutureId => "id-from-the-future",
            Self::UnknownJob => "unknown-job",
            Self::AnswerGone => "answer-gone",
            Self::QuotaExceeded { .. } => "quota-exceeded",
            Self::Overloaded { .. } => "overloaded",
            Self::NeverFits(_) => "never-fits",
            Self::LogUnavailable { .. } => "log-unavailable",
            Self::Draining => "draining",
            Self::OwnerChanging { .. } => "owner-changing",
            Self::OwnerUnreachable { .. } => "owner-unreachable",
            Self::OutcomeUnknown => "outcome-unknown",
        }
    }

    /// Returns the milliseconds after which a retry can help, if one can.
    pub fn retry_after_ms(&self) -> Option<u64> {
        const DRAINING_RETRY_MS: u64 = 100;
        const UNREACHABLE_RETRY_MS: u64 = 1_000;
        match self {
            Self::QuotaExceeded { retry_after_ms }
            | Self::Overloaded { retry_after_ms }
            | Self::LogUnavailable { retry_after_ms }
            | Self::OwnerChanging { retry_after_ms } => Some(*retry_after_ms),
            Self::Draining => Some(DRAINING_RETRY_MS),
            Self::OwnerUnreachable { .. } => Some(UNREACHABLE_RETRY_MS),
            _ => None,
        }
    }
}
