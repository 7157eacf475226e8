//! Announces the upstream to every known entry: once at first, again whenever its state changes,
//! and in between by shorter renewals.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use rpc::{AgentIdentity, Announcement, EntryIdentity, MemberState, Renewal};
use tokio::sync::watch;

use crate::{
    core::Core,
    entry_link::EntryLink,
    known_entries::{AddressSource, KnownEntries},
};

types::plain! {
    /// The state to announce and its sequence number.
    #[derive(Copy)]
    pub(crate) struct AnnouncedState {
        pub(crate) state: MemberState,
        pub(crate) sequence: u64,
    }
}

/// The identity and state to announce, shared by the links to all entries.
pub(crate) struct Announcer {
    pub(crate) identity: AgentIdentity,
    pub(crate) state: watch::Receiver<AnnouncedState>,
    pub(crate) core: ActorRef<Core>,
    pub(crate) known_entries: KnownEntries,
}

impl Announcer {
    pub(crate) fn new(
        identity: AgentIdentity,
        state: watch::Receiver<AnnouncedState>,
        core: ActorRef<Core>,
    ) -> Arc<Self> {
        Arc::new(Self { identity, state, core, known_entries: KnownEntries::default() })
    }

    /// Starts a link to an entry, unless its address is known already.
    pub(crate) fn add_entry(self: &Arc<Self>, addr: SocketAddr, source: AddressSource) {
        if let Some(restarted) = self.known_entries.insert(addr) {
            let link = EntryLink::new(Arc::clone(self), addr, source, restarted);
            let task: BoxFuture<'static, ()> = Box::pin(link.run());
            tokio::spawn(task);
        }
    }

    /// Handles the hello of an entry: announces to it if it is new or has restarted.
    pub(crate) fn on_hello(self: &Arc<Self>, entry: &EntryIdentity) {
        self.known_entries.on_hello(entry);
        self.add_entry(entry.addr, AddressSource::Learned);
    }

    pub(crate) fn announcement(&self, announced: AnnouncedState) -> Announcement {
        Announcement {
            agent: self.identity.clone(),
            state: announced.state,
            sequence: announced.sequence,
        }
    }

    pub(crate) fn renewal(&self, announced: AnnouncedState) -> Renewal {
        Renewal {
            upstream: self.identity.upstream.clone(),
            incarnation: self.identity.incarnation,
            sequence: announced.sequence,
        }
    }
}
