//! Messages between an entry and an agent, over one connection that the agent opens.

use std::{net::SocketAddr, sync::Arc};

use types::Resources;

use crate::{Claim, ClaimEnd, ClaimId, ClaimNews, Evacuations, JobName, TaskId, Upstream};

types::identifier! {
    /// Identifies an attempt of a task; unique within the entry's incarnation.
    pub struct AttemptId(pub u64);
}

types::wire! {
    /// Handshake of an agent, its first message on a connection.
    #[derive(Eq)]
    pub struct AgentHello {
        /// Name of the host that the agent runs on.
        pub agent: Arc<str>,
        /// Start time of the agent process, Unix milliseconds.
        pub incarnation: u64,
        /// Addresses of the entries that it knows.
        pub entries: Vec<SocketAddr>,
    }

    /// Attempts at one agent whose outcome the entry does not know. Every other attempt of the
    /// entry has ended as far as the entry is concerned.
    #[derive(Eq, Default)]
    pub struct UnsettledAttempts {
        /// Attempts of jobs that are not answered yet.
        pub wanted: Vec<AttemptId>,
        /// Attempts of answered or cancelled jobs, which must be stopped.
        pub stopping: Vec<AttemptId>,
    }

    /// Handshake of the entry in reply to [`AgentHello`], its first message on a connection.
    #[derive(Eq)]
    pub struct EntryHello {
        /// Name of the entry.
        pub entry: Arc<str>,
        /// Start time of the entry process, Unix milliseconds.
        pub incarnation: u64,
        /// Attempts at this agent without an outcome. They replace whatever the two sides knew of
        /// each other, so a message that an earlier connection lost is made good.
        pub attempts: UnsettledAttempts,
        /// Addresses of the entries that it knows.
        pub entries: Vec<SocketAddr>,
        /// The evacuated zones, as far as the entry knows.
        pub evacuations: Evacuations,
    }

    /// One attempt of one task.
    #[derive(Eq)]
    pub struct Attempt {
        /// Id of the attempt.
        pub id: AttemptId,
        /// Position of the task in its step.
        pub index: u32,
        /// Number of this run of the task, from 1; the agent uses a higher one if it has used this
        /// one before.
        pub run: u32,
    }

    /// Attempts of tasks of one step, sent together.
    #[derive(Eq)]
    pub struct AttemptBatch {
        /// Id of the job.
        pub job: Arc<str>,
        /// Kind of the job.
        pub kind: Arc<str>,
        /// Whether the job is suspected of crashing upstreams.
        pub is_suspect: bool,
        /// Position of the step in the job, from 0.
        pub step: u16,
        /// Input of the tasks, passed to the executor unchanged.
        pub payload: Arc<str>,
        /// Resources that each task needs.
        pub need: Resources,
        /// The attempts.
        #[serde(rename = "orders")]
        pub attempts: Vec<Attempt>,
    }

    /// Message from an entry to an agent, with the proof of its age.
    #[derive(Eq)]
    pub struct EntryMessage {
        /// Number of the agent's reports on the connection that the entry had read when it decided
        /// on the message; 0 if it had read only the handshake.
        pub reports_read: u64,
        /// The message.
        pub message: ToAgent,
    }

    /// Content of a message from an entry to an agent.
    #[derive(Eq)]
    pub enum ToAgent {
        /// Completes the handshake.
        Hello(EntryHello),
        /// Starts these attempts.
        Start(AttemptBatch),
        /// Stops these attempts, or prevents their start.
        Stop(Vec<AttemptId>),
        /// Claims a job, or renews the claim.
        Claim(Claim),
        /// Ends a claim that is contested.
        EndClaim(ClaimId, ClaimEnd),
        /// Heartbeat; lists the entries that the sender knows, or none if these have not changed.
        #[serde(rename = "Alive")]
        Heartbeat(Vec<SocketAddr>),
        /// Makes the link active or puts it on standby; it is on standby after the handshake. On an
        /// active link, the agent reports each change of its load, and both sides send frequent
        /// heartbeats. On standby, it reports only outcomes and changes of its upstream.
        SetActive(bool),
        /// Limits the reports of changes of the load on this link to one in this time, milliseconds.
        /// Outcomes and heartbeats are not delayed. 0, as after the handshake, sets no limit.
        SetReportPeriod(u16),
        /// The evacuated zones; sent on each change, also on standby.
        Evacuations(Evacuations),
    }

    /// Capacity that an agent offers.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Resources that no run occupies.
        pub free: Resources,
        /// Number of batches of attempts that `free` accounts for, counted on this connection.
        pub batches_seen: u64,
        /// Number of [`ToAgent::SetActive`] messages that the agent has read on this connection.
        pub switches_seen: u64,
        /// Whether the agent accepts new attempts at all.
        pub is_open: bool,
        /// Whether some entry that the agent knows has not connected since its start: the agent may
        /// not know which jobs that entry has.
        pub awaits_entries: bool,
    }

    /// Outcome of an attempt.
    #[derive(Copy, Eq)]
    pub enum AttemptOutcome {
        /// The task succeeded.
        Done {
            /// Time from the acknowledged start to the end, milliseconds; 0 if the start had not
            /// been acknowledged or a stop was pending.
            run_ms: u32,
        },
        /// The task's run failed.
        Failed,
        /// The task has not started and will not: the agent lacks capacity, accepts no attempts,
        /// does not know this one, or could not start it at the upstream.
        NotStarted,
        /// The run was stopped at the entry's request or with its session.
        Stopped,
        /// The run ended without a result, for example because its upstream restarted or its lease
        /// expired.
        Lost,
        /// The upstream refused the start because it is unhealthy; nothing has run.
        Unhealthy,
        /// The upstream crashed while the task ran.
        Crashed,
    }

    /// A task that may be the cause of a crash.
    #[derive(Eq)]
    pub struct Suspect {
        /// The task.
        pub task: TaskId,
        /// Kind of its job.
        pub kind: Arc<str>,
    }

    /// A crash of an upstream, as its agent has seen it.
    #[derive(Eq)]
    pub struct Crash {
        /// Start time of the incarnation that crashed, Unix milliseconds.
        pub incarnation: u64,
        /// Time since the crash when this is sent, milliseconds.
        pub age_ms: u64,
        /// Tasks that may be the cause, the latest first; none if the cause is elsewhere.
        pub suspects: Vec<Suspect>,
    }

    /// News about crashes of an upstream.
    #[derive(Eq)]
    pub enum CrashNotice {
        /// The upstream has crashed.
        Crashed(Crash),
        /// This incarnation has answered again, so it had not crashed.
        Refuted(u64),
    }

    /// Load report of an agent; it also serves as the agent's heartbeat.
    #[derive(Eq)]
    pub struct Report {
        /// The upstream, if it has changed since the last report on this connection.
        pub upstream: Option<Upstream>,
        /// Capacity that the agent offers.
        pub load: Load,
        /// Outcomes of this entry's attempts since the last report.
        pub outcomes: Vec<(AttemptId, AttemptOutcome)>,
        /// Crashes of the upstream since the last report, also those that concern other entries.
        pub crashes: Vec<CrashNotice>,
        /// News about claims of this entry.
        pub claims: Vec<ClaimNews>,
    }
}

impl Suspect {
    /// Returns the identity of the task's job.
    pub(crate) fn job_name(&self) -> JobName {
        JobName { queue: Arc::clone(&self.kind), id: Arc::clone(&self.task.job) }
    }
}

impl AttemptOutcome {
    /// Returns the name of the outcome in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Failed => "failed",
            Self::NotStarted => "not_started",
            Self::Stopped => "stopped",
            Self::Lost => "lost",
            Self::Unhealthy => "unhealthy",
            Self::Crashed => "crashed",
        }
    }
}

impl AttemptBatch {
    /// Returns the id of the task of one of the batch's attempts.
    pub fn task(&self, attempt: &Attempt) -> TaskId {
        TaskId { job: Arc::clone(&self.job), step: self.step, index: attempt.index }
    }
}
