//! Confirmation of ownership by the agents while the claims cannot be read: a new owner serves
//! only after more than half of the agents have replied to it and know no newer owner.

use std::{collections::HashSet, sync::Arc};

use jobs::AttemptRef;
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};
use rpc::{Hello, OwnedPartition};
use types::{Incarnation, JobId, UpstreamName};

use crate::{
    dispatcher::{Dispatcher, fleet::MemberPhase},
    messages::Confirmed,
};

/// Milliseconds after the last confirmation or query after which the agents are queried.
const QUERY_AFTER_MS: u64 = 500;

/// One query to all agents.
pub(crate) struct ConfirmRound {
    sent_ms: u64,
    owned: Vec<OwnedPartition>,
    /// Upstreams whose agents have confirmed the ownership.
    confirmed_by: HashSet<UpstreamName>,
}

/// Work that is held back until the ownership is confirmed.
#[derive(Default)]
pub(crate) struct Unconfirmed {
    /// Jobs with tasks to start.
    pub(crate) jobs: HashSet<JobId>,
    /// Attempts of previous owners that are to be joined.
    pub(crate) attempts: Vec<AttemptRef>,
}

/// An agent replied to the query sent at `sent_ms` and knows no newer owner.
pub(crate) struct AgentHeard {
    upstream: UpstreamName,
    incarnation: Incarnation,
    sent_ms: u64,
}

impl Dispatcher {
    /// Queries all agents if nothing has confirmed the ownership recently.
    pub(crate) fn confirm_by_agents(&mut self, dispatcher: &ActorRef<Self>) {
        let sent_ms = self.clock.now_ms();
        let queried_ms = self.confirm_round.as_ref().map_or(0, |round| round.sent_ms);
        let is_recent = sent_ms.saturating_sub(self.confirmed_ms.max(queried_ms)) < QUERY_AFTER_MS;
        let owned = self.table.owned();
        if is_recent || owned.is_empty() {
            return;
        }
        for member in self.members.values() {
            let hello =
                Hello { entry: self.entry.clone(), owned: owned.clone(), is_new_link: false };
            let handle = Arc::clone(&member.handle);
            let upstream = member.identity.upstream.clone();
            let incarnation = member.identity.incarnation;
            let dispatcher = dispatcher.clone();
            tokio::spawn(async move {
                let reply = handle.send_hello(hello).await;
                if reply.is_some_and(|reply| !reply.is_stale) {
                    let msg = AgentHeard { upstream, incarnation, sent_ms };
                    let _ = dispatcher.tell(msg).await;
                }
            });
        }
        self.confirm_round = Some(ConfirmRound { sent_ms, owned, confirmed_by: HashSet::new() });
    }

    /// Records that the entry owned the partitions at `sent_ms`, Unix milliseconds.
    pub(crate) fn confirm(&mut self, owned: &[OwnedPartition], sent_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        self.table.confirm(owned, sent_ms);
    }

    /// Queues the jobs and joins the attempts that were held back for a confirmation.
    fn retry_unconfirmed(&mut self, dispatcher: &ActorRef<Self>) {
        let Unconfirmed { jobs, attempts } = std::mem::take(&mut self.unconfirmed);
        jobs.into_iter().for_each(|id| self.queue_parked(id));
        attempts.iter().for_each(|attempt| self.rejoin(attempt, dispatcher));
    }

    /// Counts an agent's reply and confirms the ownership once a majority has replied.
    fn on_agent_heard(&mut self, msg: AgentHeard) {
        let member = self.members.get(&msg.upstream);
        let is_current = member.is_some_and(|m| m.identity.incarnation == msg.incarnation);
        let known_agents =
            self.members.values().filter(|m| m.phase != MemberPhase::Leaving).count();
        let Some(round) = self.confirm_round.as_mut().filter(|round| round.sent_ms == msg.sent_ms)
        else {
            return;
        };
        if !is_current
            || !round.confirmed_by.insert(msg.upstream)
            || round.confirmed_by.len() * 2 <= known_agents
        {
            return;
        }
        let owned = round.owned.clone();
        self.confirm(&owned, msg.sent_ms);
    }
}

impl Message<AgentHeard> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: AgentHeard, cx: &mut Context<Self, ()>) {
        self.on_agent_heard(msg);
        let dispatcher = cx.actor_ref().clone();
        self.retry_unconfirmed(&dispatcher);
        self.dispatch_queued(&dispatcher);
    }
}

impl Message<Confirmed> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Confirmed, cx: &mut Context<Self, ()>) {
        let owned = self.table.owned();
        self.confirm(&owned, msg.sent_ms);
        let dispatcher = cx.actor_ref().clone();
        self.retry_unconfirmed(&dispatcher);
        self.dispatch_queued(&dispatcher);
    }
}
