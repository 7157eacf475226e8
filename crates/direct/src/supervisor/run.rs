use std::sync::Arc;

use types::Resources;

use crate::{AttemptId, supervisor::SessionKey};

types::plain! {
    /// How far a run is.
    #[derive(Copy, Eq)]
    pub(crate) enum Phase {
        /// The start has been sent and not answered.
        Starting {
            /// How often it was sent.
            tries: u32,
        },
        /// The upstream has acknowledged the start.
        Running {
            /// When.
            since_ms: u64,
        },
        /// A stop is to be acknowledged, or its effect to be seen.
        Stopping {
            /// When the stop was acknowledged.
            acked_ms: Option<u64>,
            /// What the entry is told when the run is gone.
            report: StopReport,
        },
    }

    /// What the entry is told about a stopped run.
    #[derive(Copy, Eq)]
    pub(crate) enum StopReport {
        /// The entry asked for the stop.
        Stopped,
        /// The start was not answered in time.
        NotStarted,
    }

    /// A run that is charged against the upstream's capacity.
    pub(crate) struct Run {
        pub(crate) number: u32,
        pub(crate) need: Resources,
        pub(crate) payload: Arc<str>,
        /// Whose order it is; nothing for a run found at the start.
        pub(crate) attempt: Option<(SessionKey, AttemptId)>,
        pub(crate) phase: Phase,
    }
}
