//! The RPC server of an entry for agents and other entries.

use std::sync::Arc;

use futures::StreamExt;
use journal::ConfigFollower;
use kameo::actor::ActorRef;
use rpc::{
    Announcement, AnnouncementReply, EntriesDigest, EntryIdentity, EntryRpc, ForwardedJob,
    JobQuery, JobStatus, MembersReport, PeerConfig, ProbeReply, Renewal, RenewalReply,
};
use tarpc::{
    context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;
use types::Refusal;

use crate::{
    membership::{Announce, IsKnown, ListMembers, Membership},
    ownership::{DescribeContacts, OwnershipManager, PeerProbed},
    router::Router,
};

/// Serves the calls of agents and other entries.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) identity: EntryIdentity,
    pub(crate) membership: ActorRef<Membership>,
    pub(crate) ownership_manager: ActorRef<OwnershipManager>,
    pub(crate) config: ConfigFollower,
    pub(crate) jobs: Arc<Router>,
}

impl PeerServer {
    /// Accepts connections and serves them, without end.
    pub(crate) async fn serve_peers(self, listener: TcpListener) {
        loop {
            let transport = rpc::accept(&listener).await;
            let requests = BaseChannel::with_defaults(transport).execute(self.clone().serve());
            tokio::spawn(requests.for_each(|response| async move {
                tokio::spawn(response);
            }));
        }
    }
}

impl PeerServer {
    /// Returns the entries with which this one has had contact, and this one itself.
    async fn entries(&self) -> Vec<EntryIdentity> {
        let contacts =
            self.ownership_manager.ask(DescribeContacts).await.map(|reply| reply.contacts);
        let others = contacts.unwrap_or_default().into_iter().map(|contact| contact.entry);
        others.chain([self.identity.clone()]).collect()
    }
}

impl EntryRpc for PeerServer {
    async fn announce(self, _: context::Context, announcement: Announcement) -> AnnouncementReply {
        let _ = self.membership.tell(Announce(announcement)).await;
        let entries = self.entries().await;
        AnnouncementReply { entry: self.identity, entries }
    }

    async fn renew(self, _: context::Context, renewal: Renewal) -> RenewalReply {
        let is_known = self.membership.ask(IsKnown(renewal)).await.unwrap_or(false);
        RenewalReply { is_known, entries: EntriesDigest::of(&self.entries().await) }
    }

    async fn members(self, _: context::Context) -> MembersReport {
        let reply = self.membership.ask(ListMembers).await;
        MembersReport { announcements: reply.map(|reply| reply.0).unwrap_or_default() }
    }

    async fn submit(self, _: context::Context, job: ForwardedJob) -> Result<JobStatus, Refusal> {
        self.jobs.submit_here(job).await
    }

    async fn status(self, _: context::Context, query: JobQuery) -> Result<JobStatus, Refusal> {
        self.jobs.status_here(query).await
    }

    async fn cancel(self, _: context::Context, query: JobQuery) -> Result<JobStatus, Refusal> {
        self.jobs.cancel_here(query).await
    }

    async fn probe(self, _: context::Context, from: EntryIdentity) -> ProbeReply {
        self.jobs.peers.get_or_open(from.addr);
        let _ = self.ownership_manager.tell(PeerProbed(from)).await;
        let version = self.config.in_force().version();
        match self.ownership_manager.ask(DescribeContacts).await {
            Ok(reply) => ProbeReply {
                entry: self.identity,
                is_leaving: reply.is_leaving,
                version,
                contacts: reply.contacts,
            },
            Err(_) => {
                ProbeReply { entry: self.identity, is_leaving: true, version, contacts: Vec::new() }
            }
        }
    }

    async fn config(self, _: context::Context) -> PeerConfig {
        let state = self.config.in_force();
        let config = serde_json::to_string(state.config().as_ref()).unwrap_or_default();
        PeerConfig { version: state.version(), config }
    }
}
