use thiserror::Error;

/// Reason for which a job is refused before any of its tasks starts.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The deadline cannot be met under the present load, or the wait would be too long.
    #[error("deadline cannot be met under the present load; retry after {retry_after_ms} ms")]
    Overloaded {
        /// Delay in milliseconds after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The deadline cannot be met by an idle pool either, so a retry cannot succeed.
    #[error("the job takes {needed_ms} ms on an idle pool, longer than its deadline")]
    DeadlineTooShort {
        /// Milliseconds that the job takes on an idle pool.
        needed_ms: u64,
    },
}
