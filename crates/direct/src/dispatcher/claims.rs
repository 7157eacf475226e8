//! Claims of jobs by their ids, so that a job does not start while another entry has it.
//!
//! Load pattern: a caller that gives up early submits its job again at another entry, and the end of
//! its first connection is under way for seconds. Nothing that one entry knows tells which of the
//! two submissions is the later one. Each entry therefore claims a job at the same two agents before
//! the job starts: two messages and their answers for each job, whatever the number of hosts.

use std::cmp::Reverse;

use crate::{
    Claim, ClaimEnd, ClaimId, ClaimNews, JobName, JobOutcome, ToAgent,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, JobKey,
        agent_view::AgentView,
        job_claim::{
            Answer, EndedClaim, KEEPERS, Keeper, StoppingJob, claim_id, end_of, job_hash, weight,
        },
        job_state::JobState,
    },
};

/// Checks that find an answer missing before the job starts without it: after a pause of this
/// process, a check may come before the answers that have arrived are read.
const UNANSWERED_CHECKS: u32 = 3;

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
                ClaimNews::Granted(id) => self.on_granted(id, agent, now_ms),
                ClaimNews::Contested(id) => self.on_contested(id, agent, now_ms, effects),
                ClaimNews::Shared(id, end) => self.on_shared(id, agent, end, effects),
                ClaimNews::Asked(id) => self.on_asked(id, agent, false, effects),
                ClaimNews::AskedByRunning(id) => self.on_asked(id, agent, true, effects),
                ClaimNews::Cancelled(id) => {
                    self.answer(JobKey(id.0), JobOutcome::Cancelled, effects);
                }
            }
        }
    }

    /// Claims a job that must not start before the answers.
    pub(crate) fn claim(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        state.claim.until_ms = now_ms + self.timing.claim_wait_ms;
        state.claim.sent_ms = now_ms;
        self.add_keepers(key, now_ms, effects);
    }

    /// Sends the claim of a job to further agents until enough of them keep it.
    fn add_keepers(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        let best = self.best_keepers(state.name());
        let lost_ms = self.keeper_lost_ms(state.name(), now_ms);
        let Some(state) = self.jobs.get_mut(&key) else { return };
        if let Some(lost_ms) = lost_ms {
            let start_ms = lost_ms + self.timing.claim_wait_ms;
            state.claim.not_before_ms = state.claim.not_before_ms.max(start_ms);
        }
        if state.claim.keepers.is_empty() && !best.is_empty() {
            state.claim.until_ms = now_ms + self.timing.claim_wait_ms;
            state.claim.checks = 0;
        }
        for agent in best {
            if !state.claim.is_kept_by(agent) {
                state.claim.keepers.push(Keeper { agent, answer: Answer::Waiting, lost_ms: None });
                effects.push(DispatcherEffect::Send(agent, claim_message(key, state)));
            }
        }
    }

    /// Renews the claim of a job that may have started, at the agents that keep it from now on.
    fn renew_claim(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        let best = self.best_keepers(state.name());
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let claim = &mut state.claim;
        // What another entry has stays in force until the agent says otherwise.
        let answer = |agent| match claim.keepers.iter().find(|known| known.agent == agent) {
            Some(Keeper { answer: Answer::Contested, .. }) => Answer::Contested,
            _ => Answer::Waiting,
        };
        let keeper = |agent| Keeper { agent, answer: answer(agent), lost_ms: None };
        claim.keepers = best.into_iter().map(keeper).collect();
        state.claim.sent_ms = now_ms;
        let message = claim_message(key, state);
        // An agent that has asked goes by the renewals, also if it keeps the claim no longer.
        let agents = state.claim.agents();
        effects.extend(agents.into_iter().map(|to| DispatcherEffect::Send(to, message.clone())));
    }

    /// Returns the agents that keep the claims of a job. An agent that has left a claim unanswered is
    /// passed over until it reports. An agent that has just started may not know yet which jobs the
    /// other entries have, so those that keep the claims without it are asked, too.
    fn best_keepers(&self, job: &JobName) -> Vec<AgentKey> {
        let job_hash = job_hash(job);
        let is_able = |view: &AgentView| view.is_connected && !view.leaves_claims;
        let mut best = self.first_choices(job_hash, is_able);
        if best.iter().any(|agent| self.agents[agent.0 as usize].awaits_entries()) {
            let knows_claims = |view: &AgentView| is_able(view) && !view.awaits_entries();
            let others = self.first_choices(job_hash, knows_claims);
            for agent in others {
                if !best.contains(&agent) {
                    best.push(agent);
                }
            }
        }
        best
    }

    /// Returns the time at which an agent was lost that would keep the claims of a job, if it was
    /// within the time in which the entry that has the job notices it, too.
    fn keeper_lost_ms(&self, job: &JobName, now_ms: u64) -> Option<u64> {
        let wait_ms = self.timing.claim_wait_ms;
        let lost_ms = |view: &AgentView| {
            view.lost_ms.filter(|ms| !view.is_connected && now_ms < ms + wait_ms)
        };
        if !self.agents.iter().any(|view| lost_ms(view).is_some()) {
            return None;
        }
        let best = self.first_choices(job_hash(job), |view| {
            view.is_connected && !view.leaves_claims || lost_ms(view).is_some()
        });
        best.into_iter().filter_map(|agent| lost_ms(&self.agents[agent.0 as usize])).max()
    }

    /// Returns the agents that come first for a job among those of a kind, the first choice first.
    fn first_choices(&self, job_hash: u64, is_able: impl Fn(&AgentView) -> bool) -> Vec<AgentKey> {
        let keyed = (0u32..).map(AgentKey).zip(&self.agents);
        let mut best: Vec<(u64, Reverse<AgentKey>)> = Vec::with_capacity(KEEPERS + 1);
        for (key, view) in keyed.filter(|(_, view)| is_able(view)) {
            best.push((weight(view.name_hash, job_hash), Reverse(key)));
            best.sort_unstable_by_key(|entry| Reverse(*entry));
            best.truncate(KEEPERS);
        }
        best.into_iter().map(|(_, Reverse(key))| key).collect()
    }

    /// Returns whether an agent is to keep the claim of a job, beside or instead of those that do.
    fn is_better_keeper(&self, agent: AgentKey, state: &JobState) -> bool {
        let job_hash = job_hash(state.name());
        let weight_of = |agent: AgentKey| weight(self.agents[agent.0 as usize].name_hash, job_hash);
        let keepers = &state.claim.keepers;
        keepers.len() < KEEPERS
            || keepers.iter().any(|keeper| weight_of(agent) > weight_of(keeper.agent))
    }

    /// Claims jobs at an agent that has just connected, if it keeps their claims from now on or the
    /// last connection may have lost its answers.
    pub(crate) fn claim_at(
        &mut self,
        agent: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let is_concerned = |state: &JobState| {
            state.claim.agents().contains(&agent) || self.is_better_keeper(agent, state)
        };
        let jobs = self.jobs.iter().filter(|(_, state)| is_concerned(state));
        let keys: Vec<JobKey> = jobs.map(|(key, _)| *key).collect();
        for key in keys {
            let Some(state) = self.jobs.get_mut(&key) else { continue };
            if state.claim.is_settled {
                self.renew_claim(key, now_ms, effects);
            } else if state.claim.is_kept_by(agent) {
                effects.push(DispatcherEffect::Send(agent, claim_message(key, state)));
            } else {
                // Those that have kept the claims until now are asked beside it.
                self.add_keepers(key, now_ms, effects);
            }
        }
    }

    /// Claims jobs anew whose agents await entries, when another agent has heard from all entries.
    pub(crate) fn claim_at_informed(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let awaits = |keeper: &Keeper| self.agents[keeper.agent.0 as usize].awaits_entries();
        let is_concerned = |state: &JobState| state.claim.keepers.iter().any(awaits);
        let jobs = self.jobs.iter().filter(|(_, state)| is_concerned(state));
        let keys: Vec<JobKey> = jobs.map(|(key, _)| *key).collect();
        for key in keys {
            if self.jobs.get(&key).is_some_and(|state| state.claim.is_settled) {
                self.renew_claim(key, now_ms, effects);
            } else {
                self.add_keepers(key, now_ms, effects);
            }
        }
    }

    /// Lets jobs start whose claims stay unanswered, renews claims, and moves those of agents that
    /// have gone to other agents.
    pub(crate) fn tend_claims(&mut self, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let (_, contested_renewal_ms) = self.timing.contested_claim_ms();
        for view in self.agents.iter_mut().filter(|view| !view.is_connected) {
            view.lost_ms.get_or_insert(now_ms);
        }
        let has_agents = self.agents.iter().any(|view| view.is_connected);
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            let Some(state) = self.jobs.get(&key) else { continue };
            let is_connected = |keeper: &Keeper| self.is_connected(keeper.agent);
            let connected =
                state.claim.keepers.iter().filter(|keeper| is_connected(keeper)).count();
            let is_lost = connected == 0 || connected < state.claim.keepers.len();
            let Some(state) = self.jobs.get_mut(&key) else { continue };
            // Whoever claims the job first at other agents has it, unless it runs here.
            state.claim.is_settled &= connected > 0 || state.outstanding > 0;
            if state.claim.is_open() {
                self.tend_open_claim(key, now_ms, effects);
                self.renew_while_stopping(key, now_ms, effects);
                continue;
            }
            let is_asked = !state.claim.askers.is_empty();
            let period_ms =
                if is_asked { contested_renewal_ms } else { self.timing.claim_renewal_ms() };
            let is_due = now_ms.saturating_sub(state.claim.sent_ms) >= period_ms;
            if is_due || (is_lost && has_agents) {
                self.renew_claim(key, now_ms, effects);
            }
        }
        for (name, job) in &mut self.stopping_jobs {
            if now_ms.saturating_sub(job.renewed_ms) < contested_renewal_ms {
                continue;
            }
            job.renewed_ms = now_ms;
            for ended in &job.claims {
                let claim = Claim { id: ended.id, job: name.clone(), is_running: true };
                let message = ToAgent::Claim(claim);
                let sends = ended.askers.iter();
                effects.extend(sends.map(|to| DispatcherEffect::Send(*to, message.clone())));
            }
        }
    }

    fn is_connected(&self, agent: AgentKey) -> bool {
        self.agents.get(agent.0 as usize).is_some_and(|view| view.is_connected)
    }

    fn tend_open_claim(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let claim = &mut state.claim;
        let kept = claim.keepers.len();
        claim.keepers.retain_mut(|keeper| {
            if self.agents.get(keeper.agent.0 as usize).is_some_and(|view| view.is_connected) {
                keeper.lost_ms = None;
                return true;
            }
            // The entry that has the job must notice the loss too, and claim it elsewhere.
            let lost_ms = *keeper.lost_ms.get_or_insert(now_ms);
            keeper.answer == Answer::Contested
                && now_ms.saturating_sub(lost_ms) < self.timing.silence_ms
        });
        if claim.keepers.len() < kept {
            claim.until_ms = claim.until_ms.max(now_ms + self.timing.claim_wait_ms / 2);
            claim.checks = 0;
        }
        let has_lost = claim.keepers.iter().any(|keeper| keeper.lost_ms == Some(now_ms));
        if claim.keepers.len() < kept.max(KEEPERS) || has_lost {
            self.add_keepers(key, now_ms, effects);
        }
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let claim = &mut state.claim;
        claim.checks += u32::from(now_ms >= claim.until_ms);
        // Without any agent nothing can start, and the first one that connects must be asked.
        let has_agents = self.agents.iter().any(|view| view.is_connected);
        if claim.is_granted() && now_ms >= claim.not_before_ms {
            claim.unanswered.clear();
            self.settle_claim(key);
        } else if claim.checks >= UNANSWERED_CHECKS && !claim.is_contested() && has_agents {
            self.start_unanswered(key, now_ms, effects);
        }
    }

    /// Lets a job start although some answer to its claim is missing.
    fn start_unanswered(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        let waited_ms = now_ms.saturating_sub(state.claim.sent_ms);
        for keeper in state.claim.keepers.iter().filter(|keeper| keeper.answer == Answer::Waiting) {
            let view = &mut self.agents[keeper.agent.0 as usize];
            view.leaves_claims = view.last_heard_ms <= state.claim.sent_ms;
            let (tasks, agent) = (state.tasks.clone(), keeper.agent);
            effects.push(DispatcherEffect::ClaimUnanswered { tasks, agent, waited_ms });
        }
        let Some(state) = self.jobs.get_mut(&key) else { return };
        state.claim.start_unanswered();
        self.settle_claim(key);
    }

    /// Lets a job start.
    fn settle_claim(&mut self, key: JobKey) {
        if let Some(state) = self.jobs.get_mut(&key) {
            state.claim.is_settled = true;
        }
    }

    fn on_granted(&mut self, id: ClaimId, agent: AgentKey, now_ms: u64) {
        let Some(state) = self.jobs.get_mut(&JobKey(id.0)) else { return };
        state.claim.unanswered.retain(|known| *known != agent);
        let Some(keeper) = state.claim.keeper_mut(agent) else { return };
        keeper.answer = Answer::Granted;
        let may_start = state.claim.is_granted() && now_ms >= state.claim.not_before_ms;
        if state.claim.is_open() && may_start {
            state.claim.unanswered.clear();
            self.settle_claim(JobKey(id.0));
        }
    }

    fn on_contested(
        &mut self,
        id: ClaimId,
        agent: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get_mut(&JobKey(id.0)) else { return };
        let was_contested = state.claim.is_contested();
        let is_unanswered = state.claim.unanswered.contains(&agent);
        if is_unanswered && !state.claim.is_kept_by(agent) {
            state.claim.keepers.push(Keeper { agent, answer: Answer::Waiting, lost_ms: None });
        }
        let Some(keeper) = state.claim.keeper_mut(agent) else { return };
        let was_granted = keeper.answer == Answer::Granted;
        keeper.answer = Answer::Contested;
        // An agent that has granted the claim may have been replaced and have forgotten it.
        let is_late = state.claim.is_settled && is_unanswered;
        if !state.claim.is_open() && !is_late {
            self.wait_for_others(JobKey(id.0), now_ms);
            return;
        }
        let after_ms = now_ms.saturating_sub(state.claim.sent_ms);
        // Its tasks may run at the other entry, so no answer may say that it has not run.
        state.has_run = true;
        if !was_contested {
            let tasks = state.tasks.clone();
            effects.push(DispatcherEffect::ClaimContested { tasks, agent, after_ms });
        }
        if is_late {
            self.withdraw(JobKey(id.0), effects);
        }
        if was_granted && let Some(state) = self.jobs.get(&JobKey(id.0)) {
            // An agent that has passed the job on does not know that it is still waited for.
            effects.push(DispatcherEffect::Send(agent, claim_message(JobKey(id.0), state)));
        }
        self.yield_claim(JobKey(id.0), effects);
    }

    fn on_shared(
        &mut self,
        id: ClaimId,
        agent: AgentKey,
        end: ClaimEnd,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let state = self.jobs.get(&JobKey(id.0));
        if !state.is_some_and(|state| state.claim.is_open() && state.claim.is_kept_by(agent)) {
            return;
        }
        let outcome = match end {
            ClaimEnd::Succeeded => JobOutcome::Succeeded,
            ClaimEnd::Failed => JobOutcome::Failed,
            ClaimEnd::Cancelled => JobOutcome::Cancelled,
            ClaimEnd::Released => return,
        };
        self.answer(JobKey(id.0), outcome, effects);
    }

    /// Handles the question of an agent at which another entry claims a job. The claim is renewed
    /// until the job, and every run of it, has ended.
    fn on_asked(
        &mut self,
        id: ClaimId,
        agent: AgentKey,
        by_running: bool,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let key = JobKey(id.0);
        if self.must_yield(key, agent) || (by_running && self.has_started_nothing(key)) {
            self.release_to_others(key, agent, effects);
            return;
        }
        let stopping = self.stopping_jobs.iter_mut().find_map(|(name, job)| {
            Some((name, &job.tasks, job.claims.iter_mut().find(|ended| ended.id == id)?))
        });
        let (name, tasks, askers, is_running) = if let Some(state) = self.jobs.get_mut(&key) {
            let is_running = may_run(state);
            (state.name.clone(), &state.tasks, &mut state.claim.askers, is_running)
        } else if let Some((name, tasks, ended)) = stopping {
            (name.clone(), tasks, &mut ended.askers, true)
        } else {
            let end = ToAgent::EndClaim(id, ClaimEnd::Released);
            effects.push(DispatcherEffect::Send(agent, end));
            return;
        };
        if !askers.contains(&agent) {
            askers.push(agent);
            let tasks = tasks.clone();
            effects.push(DispatcherEffect::ClaimAsked { tasks, agent });
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
        let has_waited = state.claim.is_open();
        // The caller may submit the job again, and must not wait for this claim.
        let is_resubmitted =
            matches!(outcome, Some(JobOutcome::TimedOut | JobOutcome::NotRun { .. }));
        let askers = if has_waited || is_resubmitted || !state.may_have_run() {
            state.claim.agents()
        } else {
            state.claim.askers.clone()
        };
        let ended = EndedClaim { id, end: end_of(outcome), askers };
        let earlier = self.stopping_jobs.get_mut(state.name());
        if state.outstanding == 0 && (has_waited || earlier.is_none()) {
            report_end(ended, effects);
        } else if let Some(job) = earlier {
            job.outstanding += state.outstanding;
            job.claims.push(ended);
        } else {
            let job = StoppingJob {
                tasks: state.tasks.clone(),
                outstanding: state.outstanding,
                claims: vec![ended],
                renewed_ms: state.claim.sent_ms,
            };
            self.stopping_jobs.insert(state.name().clone(), job);
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
            job.claims.into_iter().for_each(|ended| report_end(ended, effects));
        }
    }
}

/// Returns the message that claims a job, or renews the claim.
pub(crate) fn claim_message(key: JobKey, state: &JobState) -> ToAgent {
    let is_running = may_run(state);
    ToAgent::Claim(Claim { id: claim_id(key), job: state.name().clone(), is_running })
}

/// Returns whether tasks of a job run or may start now.
fn may_run(state: &JobState) -> bool {
    state.outstanding > 0 || !state.claim.is_open()
}

/// Tells agents how a job has ended.
fn report_end(ended: EndedClaim, effects: &mut Vec<DispatcherEffect>) {
    let message = ToAgent::EndClaim(ended.id, ended.end);
    let sends = ended.askers.into_iter();
    effects.extend(sends.map(|to| DispatcherEffect::Send(to, message.clone())));
}
