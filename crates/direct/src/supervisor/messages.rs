//! Types that the supervisor exchanges with the process around it.

use std::sync::Arc;

use crate::{AttemptId, AttemptOutcome, ClaimEnd, Crash, JobName, TaskId, ZoneChange};

types::identifier! {
    /// Identifies the session with one incarnation of an entry at this agent.
    pub struct SessionKey(pub u32);
}

types::plain! {
    /// Request to start a run, which the agent sends to its upstream.
    #[derive(Eq)]
    pub struct StartRun {
        /// The task.
        pub task: TaskId,
        /// Number of the run.
        pub run: u32,
        /// Input of the task, passed to the executor unchanged.
        pub payload: Arc<str>,
    }

    /// Result of a request to start a run.
    #[derive(Copy, Eq)]
    pub enum StartResult {
        /// The run has started, or had started before.
        Started,
        /// The upstream refused the run because its number is not higher than that of an ended run
        /// of the task.
        OldRun,
        /// The upstream refused the run for another reason; nothing was started.
        Refused,
        /// The upstream refused the run because it is unhealthy; nothing was started.
        Unhealthy,
        /// The connection for the request was refused, so the request did not arrive.
        Undelivered,
        /// The request was not answered: the run may have started, or may still start.
        Unknown,
        /// The connection broke before an answer: as [`StartResult::Unknown`], and another incarnation
        /// may have replaced the upstream.
        Broken,
    }

    /// A run in progress, from an upstream's list.
    #[derive(Eq)]
    pub struct RunRow {
        /// The task.
        pub task: TaskId,
        /// Number of the run.
        pub run: u32,
        /// Share of the work that is done, percent.
        pub percent: u32,
    }

    /// Outcome of a run at the upstream.
    #[derive(Copy, Eq)]
    pub enum RunOutcome {
        /// The run succeeded.
        Done,
        /// The run failed, because of the task or of the upstream.
        Failed,
        /// The run ended without a result: it was stopped, its lease expired or its group ended.
        Terminated,
    }

    /// Runs that an upstream lists in reply to one call.
    #[derive(Eq)]
    pub struct RunList {
        /// Time at which the call was sent, milliseconds.
        pub sent_ms: u64,
        /// Time at which the reply arrived, milliseconds.
        pub received_ms: u64,
        /// Start time of the upstream's incarnation that replied, Unix milliseconds by its own
        /// clock; `None` if the reply lacks it.
        pub incarnation: Option<u64>,
        /// Whether the reply shows that the upstream refuses the orders of earlier agents.
        pub is_fencing: bool,
        /// Runs in progress.
        pub running: Vec<RunRow>,
        /// Tasks in progress whose run number cannot be read.
        pub unnumbered: Vec<TaskId>,
        /// Ended runs: task, number of the run, outcome.
        pub ended: Vec<(TaskId, u32, RunOutcome)>,
    }

    /// Action that the agent must carry out.
    #[derive(Eq)]
    pub enum SupervisorEffect {
        /// Sends a start to the upstream.
        Start(StartRun),
        /// Sends a stop to the upstream: task, number of the run and cause.
        Stop(TaskId, u32, StopCause),
        /// Raises the fencing token of the calls that are sent from now on.
        RaiseToken,
        /// Requests the upstream's run list immediately.
        PollRuns,
        /// Sends a report to the session's entry immediately.
        Report(SessionKey),
        /// Opens the agent: all runs of earlier agents have ended, so it may connect to entries.
        Open,
        /// Reports for the log that an entry claims a job that another one has.
        ClaimContested {
            /// The job.
            job: JobName,
            /// Session of the entry that has it.
            holder: SessionKey,
            /// Session of the entry that claims it.
            claimant: SessionKey,
        },
        /// Reports for the log that a contested claim has ended.
        ClaimEnded {
            /// The job.
            job: JobName,
            /// Session of the entry that had it.
            holder: SessionKey,
            /// How it ended; `None` if the entry was silent until its runs had ended.
            end: Option<ClaimEnd>,
        },
        /// Reports for the log that the upstream's zone is evacuated, or no longer so.
        EvacuationChanged(ZoneChange),
        /// Reports for the log that the upstream has become cold for this time, milliseconds: the
        /// agent offers a part of its capacity.
        Warming {
            /// The time that remains.
            remaining_ms: u64,
        },
        /// Reports for the log that the upstream is no longer cold.
        Warm,
        /// Reports a crash of the upstream for the log.
        Crashed(Crash),
        /// Reports a settled attempt for the log.
        Settled {
            /// The task.
            task: TaskId,
            /// The session and the attempt; `None` for a run that was found at the upstream.
            attempt: Option<(SessionKey, AttemptId)>,
            /// The outcome.
            outcome: AttemptOutcome,
            /// What shows the outcome.
            by: SettledBy,
        },
    }

    /// Why a run is stopped.
    #[derive(Copy, Eq)]
    pub enum StopCause {
        /// Its entry requested it.
        Requested,
        /// Its entry has not been heard of for the duration of a session.
        SessionExpired,
        /// The process of its entry has ended.
        EntryGone,
        /// Another incarnation of its entry has connected.
        EntryReplaced,
        /// Its entry has connected again and does not want it any more.
        Unwanted,
        /// Its start was not confirmed.
        StartUnconfirmed,
        /// This agent did not start it, for example a run of an earlier agent.
        Found,
        /// An earlier stop of the run was not answered in time.
        Repeated,
    }

    /// What shows the outcome of an attempt.
    #[derive(Copy, Eq)]
    pub enum SettledBy {
        /// The upstream lists its end.
        ListedEnd,
        /// A list of the upstream does not contain it.
        Absence,
        /// The last lease of the unresponsive upstream has ended.
        LeaseEnd,
        /// Another incarnation of the upstream has replaced the one at which it ran.
        UpstreamReplaced,
        /// The answer to its start, or the lack of one.
        StartResult,
        /// The agent has refused the attempt.
        Refusal,
        /// The zone of the upstream is evacuated, so the attempt was not started.
        Evacuation,
    }
}

impl StopCause {
    /// Returns the name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requested => "requested",
            Self::SessionExpired => "session_expired",
            Self::EntryGone => "entry_gone",
            Self::EntryReplaced => "entry_replaced",
            Self::Unwanted => "unwanted",
            Self::StartUnconfirmed => "start_unconfirmed",
            Self::Found => "found",
            Self::Repeated => "repeated",
        }
    }
}

impl SettledBy {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ListedEnd => "listed_end",
            Self::Absence => "absence",
            Self::LeaseEnd => "lease_end",
            Self::UpstreamReplaced => "upstream_replaced",
            Self::StartResult => "start_result",
            Self::Refusal => "refusal",
            Self::Evacuation => "evacuation",
        }
    }
}

impl RunList {
    /// Returns whether the list contains a run as running.
    pub(crate) fn contains(&self, task: &TaskId, number: u32) -> bool {
        self.has_row(task, number) || self.unnumbered.contains(task)
    }

    /// Returns whether a row of the list names a run with its number.
    pub(crate) fn has_row(&self, task: &TaskId, number: u32) -> bool {
        self.running.iter().any(|row| &row.task == task && row.run == number)
    }
}
