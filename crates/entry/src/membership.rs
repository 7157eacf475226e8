//! The upstreams that have announced themselves to this entry, and the states of their links.

use std::sync::Arc;

use indexmap::IndexMap;
use kameo::{
    Actor,
    actor::{ActorRef, Spawn, WeakActorRef},
    message::{Context, Message},
};
use rpc::{
    AgentIdentity, Announcement, EntryIdentity, HelloReply, MemberState, OwnedPartition, Renewal,
};
use tokio::time::{Duration, Instant, sleep};
use types::{Incarnation, UpstreamName};

use crate::{
    dispatcher::Dispatcher,
    link::{self, Link, LinkArgs, LinkChannel, LinkHandle, RenewOwned},
    losses::{Loss, Losses},
    messages::{UpstreamDown, UpstreamGone, UpstreamLeaving, UpstreamUp},
    metric_names,
};

const TICK: Duration = Duration::from_millis(250);

/// A change of the state of a link.
pub(crate) struct LinkEvent {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: LinkEventKind,
}

pub(crate) enum LinkEventKind {
    Up {
        handle: Arc<LinkHandle>,
        hello: HelloReply,
    },
    Down,
    /// Another incarnation replies at the address.
    Restarted,
}

/// One incarnation of an upstream.
struct Member {
    identity: AgentIdentity,
    state: MemberState,
    sequence: u64,
    link: ActorRef<Link>,
    /// The handle of the link, whether it is connected or not.
    link_handle: Arc<LinkHandle>,
    /// The handle once the link has been connected.
    handle: Option<Arc<LinkHandle>>,
    /// Since when the agent has been unreachable.
    lost_since: Option<Instant>,
}

/// Tracks the upstreams that this entry knows and supervises the links to their agents.
pub(crate) struct Membership {
    entry: EntryIdentity,
    dispatcher: ActorRef<Dispatcher>,
    owned: Vec<OwnedPartition>,
    members: IndexMap<(UpstreamName, Incarnation), Member>,
    losses: Losses,
    remove_after: Duration,
}

pub(crate) struct Tick;

/// An announcement of an agent, received directly or from another entry.
pub(crate) struct Announce(pub(crate) Announcement);

/// Queries whether an announcement, or a later one, has been received.
pub(crate) struct IsKnown(pub(crate) Renewal);

/// Requests the latest announcement of each member.
pub(crate) struct ListMembers;

/// Replaces the partitions that the entry owns.
pub(crate) struct SetOwned(pub(crate) Vec<OwnedPartition>);

/// Requests the links to all members.
pub(crate) struct Links;

/// The link to a member, over which a new owner of partitions queries it.
#[derive(Clone)]
pub(crate) struct MemberLink {
    pub(crate) identity: AgentIdentity,
    pub(crate) handle: Option<Arc<LinkHandle>>,
}

#[derive(kameo::Reply)]
pub(crate) struct MembersReply(pub(crate) Vec<Announcement>);

#[derive(kameo::Reply)]
pub(crate) struct LinksReply(pub(crate) Vec<MemberLink>);

impl Membership {
    /// Returns a membership that removes upstreams which have been unreachable for `remove_after`.
    pub(crate) fn new(
        entry: EntryIdentity,
        dispatcher: ActorRef<Dispatcher>,
        remove_after: Duration,
    ) -> Self {
        Self {
            entry,
            dispatcher,
            owned: Vec::new(),
            members: IndexMap::new(),
            losses: Losses::default(),
            remove_after,
        }
    }

    /// Applies an announcement unless a later one has been received, and opens a link to a new
    /// member.
    async fn announce(&mut self, announcement: Announcement, membership: ActorRef<Self>) {
        let agent = announcement.agent;
        let key = (agent.upstream.clone(), agent.incarnation);
        match self.members.get_mut(&key) {
            Some(member) if member.sequence >= announcement.sequence => {}
            Some(member) => {
                member.sequence = announcement.sequence;
                member.state = announcement.state;
                self.report_leaving(&key, announcement.state).await;
            }
            None => {
                let channel = LinkChannel::new();
                let handle = channel.handle();
                let link = Link::spawn(LinkArgs {
                    channel,
                    peer: agent.clone(),
                    entry: self.entry.clone(),
                    owned: self.owned.clone(),
                    membership,
                });
                let member = Member {
                    identity: agent,
                    state: announcement.state,
                    sequence: announcement.sequence,
                    link,
                    link_handle: handle,
                    handle: None,
                    lost_since: Some(Instant::now()),
                };
                self.members.insert(key, member);
            }
        }
    }

    async fn report_leaving(&self, key: &(UpstreamName, Incarnation), state: MemberState) {
        if state == MemberState::Leaving {
            log::info!("upstream {} is leaving", key.0);
            let msg = UpstreamLeaving { upstream: key.0.clone(), incarnation: key.1 };
            let _ = self.dispatcher.tell(msg).await;
        }
    }

    async fn on_link_up(
        &mut self,
        key: (UpstreamName, Incarnation),
        handle: Arc<LinkHandle>,
        hello: HelloReply,
    ) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        member.handle = Some(Arc::clone(&handle));
        member.lost_since = None;
        let msg = UpstreamUp { identity: member.identity.clone(), handle, hello };
        let state = member.state;
        log::info!("upstream {} is up, incarnation {}", key.0, key.1);
        let _ = self.dispatcher.tell(msg).await;
        self.report_leaving(&key, state).await;
        self.remove_previous(&key).await;
    }

    /// Removes the other incarnations of an upstream of which one has just connected.
    async fn remove_previous(&mut self, live: &(UpstreamName, Incarnation)) {
        let previous: Vec<_> =
            self.members.keys().filter(|key| key.0 == live.0 && key.1 != live.1).cloned().collect();
        for key in previous {
            self.remove(&key).await;
        }
    }

    fn record_loss(&mut self, key: &(UpstreamName, Incarnation)) {
        let now = Instant::now();
        let Some(member) = self.members.get_mut(key) else { return };
        member.lost_since.get_or_insert(now);
        metrics::counter!(metric_names::UPSTREAMS_LOST).increment(1);
        self.losses.add(&member.identity.location, now);
    }

    /// Sends a tick to the links that have to connect or to send a probe.
    fn wake_links(&self) {
        for member in self.members.values().filter(|member| member.link_handle.needs_tick()) {
            let _ = member.link.tell(link::Tick).try_send();
        }
    }

    /// Removes the members that have been unreachable for too long.
    async fn remove_lost(&mut self, now: Instant) {
        let remove_after = self.remove_after;
        let lost: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.lost_since.is_some_and(|since| now.duration_since(since) >= remove_after)
            })
            .map(|(key, _)| key.clone())
            .collect();
        metrics::counter!(metric_names::UPSTREAMS_FORGOTTEN).increment(lost.len() as u64);
        for key in lost {
            self.remove(&key).await;
        }
    }

    async fn remove(&mut self, key: &(UpstreamName, Incarnation)) {
        if let Some(member) = self.members.swap_remove(key) {
            member.link.kill();
            let msg = UpstreamGone { upstream: key.0.clone(), incarnation: key.1 };
            let _ = self.dispatcher.tell(msg).await;
        }
    }
}

impl Actor for Membership {
    type Args = Self;
    type Error = kameo::error::Infallible;

    async fn on_start(state: Self, membership: ActorRef<Self>) -> Result<Self, Self::Error> {
        let weak: WeakActorRef<Self> = membership.downgrade();
        tokio::spawn(async move {
            loop {
                sleep(TICK).await;
                let Some(membership) = weak.upgrade() else { return };
                if membership.tell(Tick).await.is_err() {
                    return;
                }
            }
        });
        Ok(state)
    }
}

impl Message<Tick> for Membership {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        self.wake_links();
        self.losses.take_due(now).iter().for_each(log_loss);
        self.remove_lost(now).await;
    }
}

fn log_loss(loss: &Loss) {
    match loss {
        Loss::Rack { zone, rack, upstreams } => {
            log::warn!(
                "lost the connections to {upstreams} upstreams in rack {rack} of zone {zone}"
            );
        }
        Loss::Zone { zone, racks, upstreams } => {
            log::warn!(
                "lost the connections to {upstreams} upstreams in {racks} racks of zone {zone}"
            );
        }
    }
}

impl Message<Announce> for Membership {
    type Reply = ();

    async fn handle(&mut self, msg: Announce, cx: &mut Context<Self, ()>) {
        let membership = cx.actor_ref().clone();
        self.announce(msg.0, membership).await;
    }
}

impl Message<IsKnown> for Membership {
    type Reply = bool;

    async fn handle(&mut self, msg: IsKnown, _: &mut Context<Self, bool>) -> bool {
        let Renewal { upstream, incarnation, sequence } = msg.0;
        let member = self.members.get(&(upstream, incarnation));
        member.is_some_and(|member| member.sequence >= sequence)
    }
}

impl Message<ListMembers> for Membership {
    type Reply = MembersReply;

    async fn handle(
        &mut self,
        _: ListMembers,
        _: &mut Context<Self, MembersReply>,
    ) -> MembersReply {
        let announcements = self.members.values().map(|member| Announcement {
            agent: member.identity.clone(),
            state: member.state,
            sequence: member.sequence,
        });
        MembersReply(announcements.collect())
    }
}

impl Message<LinkEvent> for Membership {
    type Reply = ();

    async fn handle(&mut self, msg: LinkEvent, _: &mut Context<Self, ()>) {
        let key = (msg.upstream, msg.incarnation);
        match msg.kind {
            LinkEventKind::Up { handle, hello } => self.on_link_up(key, handle, hello).await,
            LinkEventKind::Restarted => self.remove(&key).await,
            LinkEventKind::Down => {
                self.record_loss(&key);
                let msg = UpstreamDown { upstream: key.0, incarnation: key.1 };
                let _ = self.dispatcher.tell(msg).await;
            }
        }
    }
}

impl Message<SetOwned> for Membership {
    type Reply = ();

    async fn handle(&mut self, msg: SetOwned, _: &mut Context<Self, ()>) {
        self.owned = msg.0;
        for member in self.members.values() {
            let _ = member.link.tell(RenewOwned(self.owned.clone())).await;
        }
    }
}

impl Message<Links> for Membership {
    type Reply = LinksReply;

    async fn handle(&mut self, _: Links, _: &mut Context<Self, LinksReply>) -> LinksReply {
        let links = self.members.values().map(|member| MemberLink {
            identity: member.identity.clone(),
            handle: member.handle.clone(),
        });
        LinksReply(links.collect())
    }
}
