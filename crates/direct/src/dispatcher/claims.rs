//! Claims of jobs by their ids, so that a job does not start while another entry has it.
//!
//! Load pattern: a caller that gives up early submits its job again at another entry, and the end of
//! its first connection is under way for seconds. Nothing that one entry knows tells which of the
//! two submissions is the later one. Each entry therefore claims a job at the same agent before the
//! job starts: a message and its answer for each job, whatever the number of hosts.

use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use crate::{
    Claim, ClaimEnd, ClaimId, ClaimNews, JobName, JobOutcome, ToAgent,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, JobKey, agent_view::AgentView, job_state::JobState,
    },
};

/// Checks that a claim stays unanswered before its job starts without an answer: after a pause of
/// this process, a check may come before the answers that have arrived are read.
const UNANSWERED_CHECKS: u32 = 4;

types::plain! {
    /// Progress of a claim.
    #[derive(Copy, Eq, Default)]
    pub(crate) enum ClaimProgress {
        /// No agent is connected that could keep the claim.
        #[default]
        Unclaimed,
        /// The agent has not answered.
        Waiting {
            /// Time from which the job starts without an answer, milliseconds.
            until_ms: u64,
            /// Number of checks that found no answer.
            checks: u32,
        },
        /// Another entry has the job. The time since which the agent is disconnected, milliseconds.
        Contested(Option<u64>),
        /// The job may start.
        Settled,
    }

    /// Claim of a job; its id is that of the job's first submission.
    #[derive(Eq, Default)]
    pub(crate) struct JobClaim {
        pub(crate) progress: ClaimProgress,
        /// Agent that keeps the claim.
        keeper: Option<AgentKey>,
        sent_ms: u64,
        /// Whether another agent is to keep the claim as soon as it is granted.
        is_moved: bool,
        /// Agents at which other entries have claimed the job.
        askers: Vec<AgentKey>,
    }

    /// Claim of an answered job of which runs are being stopped.
    #[derive(Eq)]
    pub(crate) struct StoppingJob {
        /// Number of outstanding attempts.
        pub(crate) outstanding: u32,
        id: ClaimId,
        end: ClaimEnd,
        askers: Vec<AgentKey>,
        sent_ms: u64,
    }
}

impl JobClaim {
    /// Returns whether the job must not start yet.
    pub(crate) fn is_open(&self) -> bool {
        match self.progress {
            ClaimProgress::Waiting { .. } | ClaimProgress::Contested(_) => true,
            ClaimProgress::Unclaimed | ClaimProgress::Settled => false,
        }
    }
}

/// Returns the id of the claim of a job.
fn claim_id(key: JobKey) -> ClaimId {
    ClaimId(key.0)
}

/// Returns the weight of an agent for a job. The connected agent with the highest one keeps the
/// job's claims, so entries that are connected to the same agents choose the same one.
fn weight(agent: &str, job: &JobName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (agent, &*job.queue, &*job.id).hash(&mut hasher);
    hasher.finish()
}

/// Returns how a job ends for the other entries that claim it.
fn end_of(outcome: Option<JobOutcome>) -> ClaimEnd {
    match outcome {
        Some(JobOutcome::Succeeded) => ClaimEnd::Succeeded,
        Some(JobOutcome::Failed) => ClaimEnd::Failed,
        Some(JobOutcome::Cancelled) => ClaimEnd::Cancelled,
        Some(JobOutcome::TimedOut | JobOutcome::NotRun { .. }) | None => ClaimEnd::Released,
    }
}

impl Dispatcher {
    /// Applies an agent's news about the claims that it keeps, and starts jobs that may start now.
    pub fn on_claims(
        &mut self,
        agent: AgentKey,
        news: &[ClaimNews],
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        self.apply_claim_news(agent, news, now_ms, &mut effects);
        effects.extend(self.dispatch_queued(now_ms));
        effects
    }

    pub(crate) fn apply_claim_news(
        &mut self,
        agent: AgentKey,
        news: &[ClaimNews],
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        for item in news {
            match *item {
                ClaimNews::Granted(id) => self.on_granted(id, agent, now_ms, effects),
                ClaimNews::Contested(id) => self.on_contested(id, agent, now_ms, effects),
                ClaimNews::Shared(id, end) => self.on_shared(id, agent, end, effects),
                ClaimNews::Asked(id) => self.on_asked(id, agent, effects),
            }
        }
    }

    /// Claims a job that must not start before the answer.
    pub(crate) fn claim(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let until_ms = now_ms + self.timing.claim_wait_ms;
        let progress = ClaimProgress::Waiting { until_ms, checks: 0 };
        self.send_claim(key, progress, now_ms, effects);
    }

    /// Sends the claim of a job to the agent that keeps it from now on.
    fn send_claim(
        &mut self,
        key: JobKey,
        progress: ClaimProgress,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get(&key) else { return };
        let keeper = self.keeper(state.name());
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let claim = &mut state.claim;
        claim.keeper = keeper;
        claim.sent_ms = now_ms;
        claim.is_moved = false;
        claim.progress = if keeper.is_some() { progress } else { ClaimProgress::Unclaimed };
        // An agent whose question is open goes by the renewals, also if it is not the keeper.
        let others = claim.askers.iter().copied().filter(|agent| Some(*agent) != keeper);
        let agents: Vec<AgentKey> = keeper.into_iter().chain(others).collect();
        let is_running = state.outstanding > 0;
        let claim = Claim { id: claim_id(key), job: state.name().clone(), is_running };
        let message = ToAgent::Claim(claim);
        effects.extend(agents.into_iter().map(|to| DispatcherEffect::Send(to, message.clone())));
    }

    /// Returns the agent that keeps the claims of a job. An agent that has left a claim unanswered
    /// is passed over until it reports.
    fn keeper(&self, job: &JobName) -> Option<AgentKey> {
        let keyed = (0u32..).map(AgentKey).zip(&self.agents);
        let able = keyed.filter(|(_, view)| view.keeps_claims());
        able.max_by_key(|(key, view)| (weight(&view.name, job), Reverse(*key))).map(|(key, _)| key)
    }

    /// Claims the jobs at an agent that has just connected and keeps their claims from now on.
    pub(crate) fn claim_at(
        &mut self,
        agent: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let weight_of =
            |agent: AgentKey, job: &JobName| weight(&self.agents[agent.0 as usize].name, job);
        let is_moved = |state: &JobState| {
            state.claim.keeper.is_none_or(|keeper| {
                let job = state.name();
                keeper == agent || weight_of(agent, job) > weight_of(keeper, job)
            })
        };
        let jobs = self.jobs.iter().filter(|(_, state)| is_moved(state));
        let keys: Vec<JobKey> = jobs.map(|(key, _)| *key).collect();
        for key in keys {
            let Some(state) = self.jobs.get_mut(&key) else { continue };
            match state.claim.progress {
                // An agent that has just started knows nothing of the claims of other entries, so the
                // one that has kept them until now decides.
                ClaimProgress::Waiting { .. } => state.claim.is_moved = true,
                ClaimProgress::Contested(_) => {}
                ClaimProgress::Unclaimed if state.outstanding == 0 => {
                    self.claim(key, now_ms, effects);
                }
                ClaimProgress::Unclaimed | ClaimProgress::Settled => {
                    self.send_claim(key, ClaimProgress::Settled, now_ms, effects);
                }
            }
        }
    }

    /// Lets jobs start whose claims stay unanswered, renews claims, and moves those of agents that
    /// have gone to other agents.
    pub(crate) fn tend_claims(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let (_, contested_renewal_ms) = self.timing.contested_claim_ms();
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            let Some(state) = self.jobs.get_mut(&key) else { continue };
            let view = state.claim.keeper.and_then(|agent| self.agents.get(agent.0 as usize));
            let is_lost = view.is_none_or(|view| !view.is_connected);
            let since_ms = now_ms.saturating_sub(state.claim.sent_ms);
            match &mut state.claim.progress {
                ClaimProgress::Unclaimed => {}
                ClaimProgress::Waiting { until_ms, checks } => {
                    *checks += 1;
                    if now_ms >= *until_ms && *checks >= UNANSWERED_CHECKS {
                        self.start_unanswered(key, since_ms, effects);
                    } else if is_lost {
                        let progress = state.claim.progress;
                        self.send_claim(key, progress, now_ms, effects);
                    }
                }
                ClaimProgress::Contested(lost_ms) => {
                    let first_ms = *lost_ms.get_or_insert(now_ms);
                    if !is_lost {
                        *lost_ms = None;
                    } else if now_ms.saturating_sub(first_ms) >= self.timing.silence_ms
                        && self.agents.iter().any(AgentView::keeps_claims)
                    {
                        // By now the holder has noticed the loss too, and has moved its claim.
                        self.claim(key, now_ms, effects);
                    }
                }
                ClaimProgress::Settled => {
                    let is_asked = !state.claim.askers.is_empty();
                    let period_ms = if is_asked {
                        contested_renewal_ms
                    } else {
                        self.timing.claim_renewal_ms()
                    };
                    if is_lost || since_ms >= period_ms {
                        self.send_claim(key, ClaimProgress::Settled, now_ms, effects);
                    }
                }
            }
        }
        for (name, job) in &mut self.stopping_jobs {
            if now_ms.saturating_sub(job.sent_ms) >= contested_renewal_ms {
                job.sent_ms = now_ms;
                let claim = Claim { id: job.id, job: name.clone(), is_running: true };
                let claim = ToAgent::Claim(claim);
                let sends = job.askers.iter().map(|to| DispatcherEffect::Send(*to, claim.clone()));
                effects.extend(sends);
            }
        }
    }

    /// Lets a job start whose claim was not answered.
    fn start_unanswered(
        &mut self,
        key: JobKey,
        waited_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        state.claim.progress = ClaimProgress::Settled;
        let Some(agent) = state.claim.keeper else { return };
        let view = &mut self.agents[agent.0 as usize];
        view.leaves_claims = view.last_heard_ms <= state.claim.sent_ms;
        let job = Arc::clone(&state.name().id);
        effects.push(DispatcherEffect::ClaimUnanswered { job, agent, waited_ms });
    }

    /// Returns the job with this claim if the claim waits for this agent.
    fn open_claim(&mut self, id: ClaimId, agent: AgentKey) -> Option<&mut JobState> {
        let state = self.jobs.get_mut(&JobKey(id.0))?;
        Some(state).filter(|state| state.claim.is_open() && state.claim.keeper == Some(agent))
    }

    fn on_granted(
        &mut self,
        id: ClaimId,
        agent: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.open_claim(id, agent) else { return };
        state.claim.progress = ClaimProgress::Settled;
        if state.claim.is_moved {
            self.send_claim(JobKey(id.0), ClaimProgress::Settled, now_ms, effects);
        }
    }

    fn on_contested(
        &mut self,
        id: ClaimId,
        agent: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.open_claim(id, agent) else { return };
        let is_new = !matches!(state.claim.progress, ClaimProgress::Contested(_));
        state.claim.progress = ClaimProgress::Contested(None);
        // Its tasks may run at the other entry, so no answer may say that it has not run.
        state.has_run = true;
        if is_new {
            let after_ms = now_ms.saturating_sub(state.claim.sent_ms);
            let job = Arc::clone(&state.name().id);
            effects.push(DispatcherEffect::ClaimContested { job, agent, after_ms });
        }
    }

    fn on_shared(
        &mut self,
        id: ClaimId,
        agent: AgentKey,
        end: ClaimEnd,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.open_claim(id, agent) else { return };
        let outcome = match end {
            ClaimEnd::Succeeded => JobOutcome::Succeeded,
            ClaimEnd::Failed => JobOutcome::Failed,
            ClaimEnd::Cancelled => JobOutcome::Cancelled,
            ClaimEnd::Released => return,
        };
        // The agent has forgotten the claim with the job.
        state.claim.progress = ClaimProgress::Settled;
        self.answer(JobKey(id.0), outcome, effects);
    }

    /// Handles the question of an agent at which another entry claims a job. The claim is renewed
    /// until the job, and every run of it, has ended.
    fn on_asked(&mut self, id: ClaimId, agent: AgentKey, effects: &mut Vec<DispatcherEffect>) {
        let key = JobKey(id.0);
        let stopping = self.stopping_jobs.iter_mut().find(|(_, job)| job.id == id);
        let (name, askers, is_running) = if let Some(state) = self.jobs.get_mut(&key) {
            (state.name.clone(), &mut state.claim.askers, state.outstanding > 0)
        } else if let Some((name, job)) = stopping {
            (name.clone(), &mut job.askers, true)
        } else {
            let end = ToAgent::EndClaim(id, ClaimEnd::Released);
            effects.push(DispatcherEffect::Send(agent, end));
            return;
        };
        if !askers.contains(&agent) {
            askers.push(agent);
            let job = Arc::clone(&name.id);
            effects.push(DispatcherEffect::ClaimAsked { job, agent });
        }
        let claim = ToAgent::Claim(Claim { id, job: name, is_running });
        effects.push(DispatcherEffect::Send(agent, claim));
    }

    /// Ends the claim of a job that was removed with this outcome, as soon as no run of it is left.
    pub(crate) fn end_claim(
        &mut self,
        key: JobKey,
        state: &JobState,
        outcome: Option<JobOutcome>,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let id = claim_id(key);
        if let Some(agent) = state.claim.keeper.filter(|_| state.claim.is_open()) {
            let end = ToAgent::EndClaim(id, ClaimEnd::Released);
            effects.push(DispatcherEffect::Send(agent, end));
        }
        let job = StoppingJob {
            outstanding: state.outstanding,
            id,
            end: end_of(outcome),
            askers: state.claim.askers.clone(),
            sent_ms: state.claim.sent_ms,
        };
        if job.outstanding == 0 {
            Self::report_end(job, effects);
            return;
        }
        // Attempts of an earlier submission of the job may still be left.
        let earlier = self.stopping_jobs.insert(state.name().clone(), job);
        if let (Some(earlier), Some(job)) = (earlier, self.stopping_jobs.get_mut(state.name())) {
            job.outstanding += earlier.outstanding;
            job.askers.extend(earlier.askers);
        }
    }

    /// Records that an attempt of an answered job has ended.
    pub(crate) fn on_stopped_attempt(
        &mut self,
        name: &JobName,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(job) = self.stopping_jobs.get_mut(name) else { return };
        job.outstanding -= 1;
        if job.outstanding == 0
            && let Some(job) = self.stopping_jobs.swap_remove(name)
        {
            Self::report_end(job, effects);
        }
    }

    /// Tells the agents that asked for it how a job has ended.
    fn report_end(job: StoppingJob, effects: &mut Vec<DispatcherEffect>) {
        let message = ToAgent::EndClaim(job.id, job.end);
        let sends = job.askers.into_iter().map(|to| DispatcherEffect::Send(to, message.clone()));
        effects.extend(sends);
    }
}
