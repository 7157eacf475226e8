//! What an entry does when another one has a job that it has claimed or started.

use crate::{
    ClaimEnd, ToAgent,
    dispatcher::{
        AgentKey, Dispatcher, DispatcherEffect, JobKey, WithdrawalCause,
        claims::claim_message,
        job_claim::{Answer, Keeper, claim_id, job_hash, weight},
    },
};

impl Dispatcher {
    /// Stops what has started of a job without an answer to its claim. The job waits for the end of
    /// the other entry's claim, as if the answer had come in time.
    pub(crate) fn withdraw(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        state.claim.is_settled = false;
        self.stop_attempts(key, WithdrawalCause::Contested, effects);
    }

    /// Renews a claim that waits, at the agents at which other entries wait for it, while runs of
    /// the job are being stopped: they must not start before these have ended.
    pub(crate) fn renew_while_stopping(
        &mut self,
        key: JobKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let (_, period_ms) = self.timing.contested_claim_ms();
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let is_due = now_ms.saturating_sub(state.claim.sent_ms) >= period_ms;
        if state.outstanding == 0 || state.claim.askers.is_empty() || !is_due {
            return;
        }
        state.claim.sent_ms = now_ms;
        let message = claim_message(key, state);
        let askers = state.claim.askers.iter();
        effects.extend(askers.map(|to| DispatcherEffect::Send(*to, message.clone())));
    }

    /// Lets a job wait that is contested and of which nothing runs here: another entry may run it, and
    /// this one must not start it again beside that.
    pub(crate) fn wait_for_others(&mut self, key: JobKey, now_ms: u64) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        let claim = &mut state.claim;
        if claim.is_settled && claim.is_contested() && state.outstanding == 0 {
            claim.is_settled = false;
            claim.until_ms = now_ms + self.timing.claim_wait_ms;
            claim.checks = 0;
        }
    }

    /// Leaves a job to other entries at the agents where these wait for it, if this one has to.
    pub(crate) fn yield_claim(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        for agent in state.claim.askers.clone() {
            if self.must_yield(key, agent) {
                self.release_to_others(key, agent, effects);
            }
        }
    }

    /// Releases the grant of an agent and waits there for the end of the next holder's claim.
    pub(crate) fn release_to_others(
        &mut self,
        key: JobKey,
        agent: AgentKey,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(state) = self.jobs.get_mut(&key) else { return };
        if let Some(keeper) = state.claim.keeper_mut(agent) {
            keeper.answer = Answer::Waiting;
        }
        state.claim.askers.retain(|known| *known != agent);
        let end = ToAgent::EndClaim(claim_id(key), ClaimEnd::Released);
        effects.push(DispatcherEffect::Send(agent, end));
        effects.push(DispatcherEffect::Send(agent, claim_message(key, state)));
    }

    /// Returns whether a job leaves its grant of this agent to another entry: two entries that have
    /// claimed the job at the same time wait for each other, and the choice that comes first decides.
    /// While runs of the job are being stopped, it keeps the grant.
    pub(crate) fn must_yield(&self, key: JobKey, agent: AgentKey) -> bool {
        let Some(state) = self.jobs.get(&key) else { return false };
        let job_hash = job_hash(state.name());
        let weight_of = |agent: AgentKey| weight(self.agents[agent.0 as usize].name_hash, job_hash);
        let is_before = |keeper: &Keeper| {
            keeper.answer == Answer::Contested && weight_of(keeper.agent) > weight_of(agent)
        };
        self.has_started_nothing(key) && state.claim.keepers.iter().any(is_before)
    }

    /// Returns whether a job waits and nothing of it runs here.
    pub(crate) fn has_started_nothing(&self, key: JobKey) -> bool {
        self.jobs.get(&key).is_some_and(|state| state.claim.is_open() && state.outstanding == 0)
    }
}
