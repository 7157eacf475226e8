//! State of the claim of one job at the agents that keep it.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{
    ClaimEnd, ClaimId, JobName, JobOutcome, JobTasks,
    dispatcher::{AgentKey, JobKey},
};

/// Number of agents that keep the claims of a job: entries that see different agents, by one, still
/// share one of two.
pub(crate) const KEEPERS: usize = 2;

types::plain! {
    /// What an agent has answered to a claim.
    #[derive(Copy, Eq)]
    pub(crate) enum Answer {
        /// Nothing yet.
        Waiting,
        /// No other entry has the job.
        Granted,
        /// Another entry has the job.
        Contested,
    }

    /// Agent that keeps the claim of a job.
    #[derive(Copy, Eq)]
    pub(crate) struct Keeper {
        pub(crate) agent: AgentKey,
        pub(crate) answer: Answer,
        /// Time since which a contested claim has no connection, milliseconds.
        pub(crate) lost_ms: Option<u64>,
    }

    /// Claim of a job; its id is that of the job's first submission.
    #[derive(Eq, Default)]
    pub(crate) struct JobClaim {
        pub(crate) keepers: Vec<Keeper>,
        /// Whether the job could start.
        pub(crate) is_settled: bool,
        /// Time from which the job starts without the answers that are missing, milliseconds.
        pub(crate) until_ms: u64,
        /// Number of checks since then.
        pub(crate) checks: u32,
        pub(crate) sent_ms: u64,
        /// Time before which the job does not start although it is granted, milliseconds: an agent
        /// that kept its claims has just been lost.
        pub(crate) not_before_ms: u64,
        /// Agents at which other entries have claimed the job.
        pub(crate) askers: Vec<AgentKey>,
        /// Agents without whose answer the job has started, until they grant it.
        pub(crate) unanswered: Vec<AgentKey>,
    }

    /// Claim of a job that has ended here, at the agents that are to be told.
    #[derive(Eq)]
    pub(crate) struct EndedClaim {
        pub(crate) id: ClaimId,
        pub(crate) end: ClaimEnd,
        pub(crate) askers: Vec<AgentKey>,
    }

    /// Answered job of which runs are being stopped.
    #[derive(Eq)]
    pub(crate) struct StoppingJob {
        pub(crate) tasks: JobTasks,
        /// Number of outstanding attempts.
        pub(crate) outstanding: u32,
        /// Claims of its submissions, which end with the last run.
        pub(crate) claims: Vec<EndedClaim>,
        /// Time of the last renewal of the claims, milliseconds.
        pub(crate) renewed_ms: u64,
    }
}

impl JobClaim {
    /// Returns whether no task of the job must start now.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_settled || self.is_passed_on()
    }

    /// Returns whether all agents have passed the job on to another entry, as they do when this
    /// process stands still for a while.
    fn is_passed_on(&self) -> bool {
        !self.keepers.is_empty()
            && self.keepers.iter().all(|keeper| keeper.answer == Answer::Contested)
    }

    pub(crate) fn is_contested(&self) -> bool {
        self.keepers.iter().any(|keeper| keeper.answer == Answer::Contested)
    }

    pub(crate) fn is_granted(&self) -> bool {
        !self.keepers.is_empty()
            && self.keepers.iter().all(|keeper| keeper.answer == Answer::Granted)
    }

    /// Notes the agents without whose answers the job starts.
    pub(crate) fn start_unanswered(&mut self) {
        let waiting = self.keepers.iter().filter(|keeper| keeper.answer == Answer::Waiting);
        self.unanswered = waiting.map(|keeper| keeper.agent).collect();
    }

    pub(crate) fn keeper_mut(&mut self, agent: AgentKey) -> Option<&mut Keeper> {
        self.keepers.iter_mut().find(|keeper| keeper.agent == agent)
    }

    pub(crate) fn is_kept_by(&self, agent: AgentKey) -> bool {
        self.keepers.iter().any(|keeper| keeper.agent == agent)
    }

    /// Returns the agents that keep the claim and those that have asked for it.
    pub(crate) fn agents(&self) -> Vec<AgentKey> {
        let mut agents: Vec<AgentKey> = self.keepers.iter().map(|keeper| keeper.agent).collect();
        agents.extend(self.askers.iter().filter(|agent| !self.is_kept_by(**agent)));
        agents
    }
}

/// Returns the id of the claim of a job.
pub(crate) fn claim_id(key: JobKey) -> ClaimId {
    ClaimId(key.0)
}

/// Returns the hash of a job from which the weights of agents are derived.
pub(crate) fn job_hash(job: &JobName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&*job.queue, &*job.id).hash(&mut hasher);
    hasher.finish()
}

/// Returns the weight of an agent for a job, by their hashes. The connected agents with the highest ones keep the
/// job's claims, so entries that are connected to the same agents choose the same ones.
pub(crate) fn weight(agent_hash: u64, job_hash: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (agent_hash, job_hash).hash(&mut hasher);
    hasher.finish()
}

/// Returns how a job ends for the other entries that claim it.
pub(crate) fn end_of(outcome: Option<JobOutcome>) -> ClaimEnd {
    match outcome {
        Some(JobOutcome::Succeeded) => ClaimEnd::Succeeded,
        Some(JobOutcome::Failed) => ClaimEnd::Failed,
        Some(JobOutcome::Cancelled) => ClaimEnd::Cancelled,
        Some(JobOutcome::TimedOut | JobOutcome::NotRun { .. }) | None => ClaimEnd::Released,
    }
}
