use std::sync::Arc;

use crate::{AttemptId, AttemptOutcome, TaskId};

types::identifier! {
    /// An incarnation of an entry, numbered by the agent.
    pub struct SessionKey(pub u32);
}

types::plain! {
    /// A start that the agent sends to its upstream.
    #[derive(Eq)]
    pub struct StartRun {
        /// The task.
        pub task: TaskId,
        /// Number of the run.
        pub run: u32,
        /// What it is given to run.
        pub payload: Arc<str>,
    }

    /// How a start was answered.
    #[derive(Copy, Eq)]
    pub enum StartResult {
        /// The run is there.
        Started,
        /// The run's number is not higher than one that ended there.
        OldRun,
        /// The upstream refused it for another reason and has done nothing.
        Refused,
        /// The upstream is unhealthy and has done nothing.
        Unhealthy,
        /// No answer: it may have started, or may yet.
        Unknown,
    }

    /// A run that an upstream lists.
    #[derive(Eq)]
    pub struct RunRow {
        /// The task.
        pub task: TaskId,
        /// Number of the run.
        pub run: u32,
        /// How much of the work is done, percent.
        pub percent: u32,
    }

    /// How a run ended at the upstream.
    #[derive(Copy, Eq)]
    pub enum RunOutcome {
        /// Well.
        Done,
        /// Failed, by its own fault or the upstream's.
        Failed,
        /// Without a result: stopped, or with its lease or its group.
        Terminated,
    }

    /// What an upstream lists in answer to one call.
    #[derive(Eq)]
    pub struct RunList {
        /// When the call was sent.
        pub sent_ms: u64,
        /// When the answer came.
        pub received_ms: u64,
        /// Start of the upstream's incarnation that answered, where it says so.
        pub incarnation: Option<u64>,
        /// What runs.
        pub running: Vec<RunRow>,
        /// What ended: task, number of the run, how.
        pub ended: Vec<(TaskId, u32, RunOutcome)>,
    }

    /// What the agent has to do.
    #[derive(Eq)]
    pub enum SupervisorEffect {
        /// Send a start to the upstream.
        Start(StartRun),
        /// Send a stop to the upstream: task and number of the run.
        Stop(TaskId, u32),
        /// Ask the upstream for its lists at once.
        PollRuns,
        /// Report to the entry at once.
        Report(SessionKey),
        /// Everything has been stopped: entries may be dialled.
        Open,
        /// A decision, for the log: what, order, outcome.
        Settled(TaskId, Option<AttemptId>, AttemptOutcome),
    }
}
