use std::time::Duration;

types::wire! {
    /// Numbers of jobs by outcome.
    #[derive(Copy, Eq, Default)]
    pub struct Counts {
        /// Jobs sent.
        pub sent: u64,
        /// Jobs with a complete answer.
        pub complete: u64,
        /// Jobs that were accepted and failed.
        pub failed: u64,
        /// Jobs that failed after a cancel wave cancelled them.
        pub cancelled: u64,
        /// Jobs refused with the guarantee that no task ran.
        pub refused: u64,
        /// Jobs refused without that guarantee.
        pub refused_unsure: u64,
        /// Jobs without a reply, or with one that violates the protocol.
        pub errors: u64,
        /// Jobs whose complete answer doesn't belong to their own tasks.
        pub mismatched: u64,
        /// Jobs submitted twice whose two replies contradict each other.
        pub duplicates_differ: u64,
        /// Jobs not sent because too many were in progress.
        pub unsent: u64,
    }
}

/// Outcome and times of one job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobResult {
    pub(crate) outcome: Outcome,
    /// Time from the planned sending to the reply.
    pub(crate) response: Duration,
    /// Longest run among its tasks, as measured by the executors.
    pub(crate) longest_run: Duration,
}

/// Outcome of one job; see [`Counts`] for the meaning of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Complete,
    Failed,
    Cancelled,
    Refused,
    RefusedUnsure,
    Error,
    Mismatched,
    DuplicatesDiffer,
    Unsent,
}

impl JobResult {
    pub(crate) fn unsent() -> Self {
        let (response, longest_run) = (Duration::ZERO, Duration::ZERO);
        Self { outcome: Outcome::Unsent, response, longest_run }
    }
}

impl Counts {
    pub(crate) fn add(&mut self, outcome: Outcome) {
        self.sent += u64::from(outcome != Outcome::Unsent);
        let count = match outcome {
            Outcome::Complete => &mut self.complete,
            Outcome::Failed => &mut self.failed,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::Refused => &mut self.refused,
            Outcome::RefusedUnsure => &mut self.refused_unsure,
            Outcome::Error => &mut self.errors,
            Outcome::Mismatched => &mut self.mismatched,
            Outcome::DuplicatesDiffer => &mut self.duplicates_differ,
            Outcome::Unsent => &mut self.unsent,
        };
        *count += 1;
    }
}
