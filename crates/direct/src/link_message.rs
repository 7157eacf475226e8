//! Messages between an entry and an agent, over one connection that the agent opens.

use std::{net::SocketAddr, sync::Arc};

use types::Resources;

use crate::{TaskId, Upstream};

types::identifier! {
    /// An attempt of a task that an entry has ordered; unique within the entry's incarnation.
    pub struct AttemptId(pub u64);
}

types::wire! {
    /// The first message of an agent on a connection.
    #[derive(Eq)]
    pub struct AgentHello {
        /// Name of the agent's host.
        pub agent: Arc<str>,
        /// Start of the agent, Unix milliseconds.
        pub incarnation: u64,
        /// Addresses of the entries that it knows.
        pub entries: Vec<SocketAddr>,
    }

    /// The answer of the entry, its first message on a connection.
    #[derive(Eq)]
    pub struct EntryHello {
        /// Name of the entry.
        pub entry: Arc<str>,
        /// Start of the entry, Unix milliseconds.
        pub incarnation: u64,
        /// Orders at this agent whose outcome the entry has not heard.
        pub outstanding: Vec<AttemptId>,
        /// Addresses of the entries that it knows.
        pub entries: Vec<SocketAddr>,
    }

    /// One attempt of one task.
    #[derive(Eq)]
    pub struct Attempt {
        /// Its number.
        pub id: AttemptId,
        /// Position of the task in its step.
        pub index: u32,
        /// Number of this run of the task, from 1.
        pub run: u32,
    }

    /// Attempts of tasks of one step.
    #[derive(Eq)]
    pub struct AttemptBatch {
        /// The job's id.
        pub job: Arc<str>,
        /// Position of the step.
        pub step: u16,
        /// What the tasks are given to run.
        pub payload: Arc<str>,
        /// What each task needs.
        pub need: Resources,
        /// The attempts.
        #[serde(rename = "orders")]
        pub attempts: Vec<Attempt>,
    }

    /// What an entry tells an agent.
    #[derive(Eq)]
    pub enum ToAgent {
        /// Answers the agent's greeting.
        Hello(EntryHello),
        /// Start these.
        Start(AttemptBatch),
        /// Stop these, or never start them.
        Stop(Vec<AttemptId>),
        /// A sign of life, with the entries known if they have changed.
        #[serde(rename = "Alive")]
        Heartbeat(Vec<SocketAddr>),
    }

    /// What an agent can still take.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Capacity that is not charged.
        pub free: Resources,
        /// Number of the last batch of orders that `free` accounts for, by count on this connection.
        pub batches_seen: u64,
        /// Whether new tasks are taken at all.
        pub is_open: bool,
    }

    /// How an order ended.
    #[derive(Copy, Eq)]
    pub enum AttemptOutcome {
        /// The task ended well.
        Done {
            /// From the acknowledged start to the end, milliseconds.
            run_ms: u32,
        },
        /// The task's run ended failed.
        Failed,
        /// It has not started and will not: no room, draining, or unknown to the agent.
        NotStarted,
        /// It was stopped by the entry's order.
        Stopped,
        /// It ended without result with its upstream or its lease.
        Lost,
        /// The upstream refused the start as unhealthy; nothing has run.
        Unhealthy,
    }

    /// A report of an agent; also its sign of life.
    #[derive(Eq)]
    pub struct Report {
        /// The upstream, when it has changed since the last report on this connection.
        pub upstream: Option<Upstream>,
        /// What can still be taken.
        pub load: Load,
        /// Outcomes of this entry's orders.
        pub outcomes: Vec<(AttemptId, AttemptOutcome)>,
    }
}

impl AttemptOutcome {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Failed => "failed",
            Self::NotStarted => "not_started",
            Self::Stopped => "stopped",
            Self::Lost => "lost",
            Self::Unhealthy => "unhealthy",
        }
    }
}

impl AttemptBatch {
    /// Returns the task of one of the orders.
    pub fn task(&self, attempt: &Attempt) -> TaskId {
        TaskId { job: Arc::clone(&self.job), step: self.step, index: attempt.index }
    }
}
