use std::sync::Arc;

use types::Resources;

use crate::{
    AttemptId, AttemptOutcome,
    supervisor::{SessionKey, absence::Absence},
};

types::plain! {
    /// Phase of a run.
    #[derive(Copy, Eq)]
    pub(crate) enum Phase {
        /// The start is held until the upstream is free of other fresh starts.
        Held,
        /// The start has been sent and is unanswered.
        Starting {
            /// Number of times that the start was sent.
            sends: u32,
            /// Number of these calls that have neither been answered nor timed out.
            open_calls: u32,
        },
        /// No call of the start is unanswered, and the last one ended with its connection: the next list
        /// shows whether another incarnation has replaced the upstream.
        AwaitingList {
            /// Number of times that the start was sent.
            sends: u32,
            /// Time at which the connection broke, milliseconds.
            since_ms: u64,
        },
        /// The upstream has acknowledged the start.
        Running {
            /// Time of the acknowledgement, milliseconds.
            since_ms: u64,
        },
        /// A stop has been sent; it is unacknowledged, or the run's end is not confirmed by a list.
        Stopping {
            /// Time at which the stop was acknowledged, milliseconds.
            acked_ms: Option<u64>,
            /// Outcome to report when the run has ended.
            report: StopReport,
        },
    }

    /// Outcome that is reported for a stopped run.
    #[derive(Copy, Eq)]
    pub(crate) enum StopReport {
        /// `AttemptOutcome::Stopped`: the entry requested the stop, or its session ended.
        Stopped,
        /// `AttemptOutcome::Lost`: the start was not confirmed, so the run may have begun.
        Unconfirmed,
    }

    /// A run that occupies capacity of the upstream.
    pub(crate) struct Run {
        pub(crate) number: u32,
        pub(crate) need: Resources,
        /// Kind of the job.
        pub(crate) kind: Arc<str>,
        /// Whether the entry suspects the job of crashing upstreams.
        pub(crate) is_suspect: bool,
        pub(crate) payload: Arc<str>,
        /// Time at which the attempt was accepted, milliseconds.
        pub(crate) accepted_ms: u64,
        /// Session and id of the attempt; `None` for a run that was found at the upstream.
        pub(crate) attempt: Option<(SessionKey, AttemptId)>,
        pub(crate) phase: Phase,
        pub(crate) absence: Absence,
        /// Outcome of the run if the upstream's present incarnation does not have it; `None` if its start
        /// is meant for this one, or this one has listed it.
        pub(crate) outcome_if_gone: Option<AttemptOutcome>,
        /// Last time at which the entry is known to have wanted the run, milliseconds; `None` while
        /// it still does, as far as is known.
        pub(crate) wanted_until_ms: Option<u64>,
    }
}

types::plain! {
    /// Highest run of a task that has ended.
    #[derive(Copy, Eq, Default)]
    pub(crate) struct EndedRun {
        pub(crate) number: u32,
        /// Time at which the list arrived that shows its end, milliseconds; `None` if none did.
        pub(crate) listed_ms: Option<u64>,
    }
}

impl Phase {
    /// Phase of a run whose start is being sent for the first time.
    pub(crate) const STARTING: Self = Self::Starting { sends: 1, open_calls: 1 };
}
