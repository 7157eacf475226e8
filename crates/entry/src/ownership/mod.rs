//! Ownership of partitions: follows the stream of claims, monitors the other entries, and claims
//! and takes over the partitions that are assigned to this entry.

mod handlers;
mod log_activity;
mod messages;
mod peers;
mod stream_read;
mod stream_watch;
mod takeover_run;

use std::sync::Arc;

use indexmap::IndexMap;
use jobs::{
    Claim, ClaimRecord, JobRecord, Member, MemberHealth, OwnershipState, PartitionClaim,
    PositionedClaim, Release, TableSettings, plan_ownership,
};
use journal::{Follower, FollowerEvent, Writer};
use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
};
use ports::{Log, Offset, StreamName};
use rpc::{EntryIdentity, OwnedPartition, PeerContact};
use tokio::{
    sync::{oneshot, watch},
    time::{Duration, Instant, sleep},
};
use types::{Partition, PartitionCount};

pub(crate) use crate::ownership::{
    messages::{DescribeContacts, PeerProbed, PeerReplied, ReleaseAll, TakenOver},
    peers::PeerClients,
};
use crate::{
    clock::Clock,
    dispatcher::Dispatcher,
    membership::{Membership, SetOwned},
    messages::{EntryCount, Fence},
    metric_names,
    ownership::{
        log_activity::LogActivity,
        messages::{Claims, ClaimsTruncated, Tick},
        stream_watch::watch_stream,
        takeover_run::TakeoverRun,
    },
    supervise::spawn_for,
};

const TICK: Duration = Duration::from_millis(100);
/// Time without a reply after which an entry counts as unreachable or dead.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time without a reply after which the end of an entry's stream of job records is read at
/// intervals.
const WATCH_AFTER: Duration = Duration::from_millis(700);
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the start in which the other entries are discovered and nothing is claimed.
const START_GRACE: Duration = Duration::from_millis(800);
/// Time after which a claim that has had no effect may be repeated.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const RECORDS_PER_SNAPSHOT: u32 = 64;
const SNAPSHOT_AFTER: Duration = Duration::from_secs(600);

/// The owner of each partition, as known to this entry.
pub(crate) type Owners = Arc<Vec<Option<EntryIdentity>>>;

/// Arguments of the ownership manager.
pub(crate) struct OwnershipManagerArgs {
    pub(crate) entry: EntryIdentity,
    pub(crate) clock: Clock,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) partitions: PartitionCount,
    pub(crate) table: TableSettings,
    pub(crate) claims: Writer<ClaimRecord>,
    pub(crate) journal: Writer<JobRecord>,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    pub(crate) membership: ActorRef<Membership>,
    pub(crate) peers: PeerClients,
    pub(crate) owners: watch::Sender<Owners>,
    /// Offset up to which the claims have been applied.
    pub(crate) position: watch::Sender<Offset>,
}

/// State of another entry process, as known to this entry.
struct PeerState {
    last_heard: Instant,
    is_leaving: bool,
    /// Its contacts with other entries, from its latest reply.
    contacts: Vec<PeerContact>,
    reported_at: Instant,
    /// When a read of the entry's stream of job records was last started.
    watched_at: Option<Instant>,
}

impl PeerState {
    fn is_unresponsive(&self, now: Instant) -> bool {
        now.duration_since(self.last_heard) >= WATCH_AFTER
    }
}

/// Decides which partitions this entry claims, serves and releases.
pub(crate) struct OwnershipManager {
    args: OwnershipManagerArgs,
    state: OwnershipState,
    peers: IndexMap<EntryIdentity, PeerState>,
    log_activity: LogActivity,
    taking_over: IndexMap<Partition, OwnedPartition>,
    serving: IndexMap<Partition, OwnedPartition>,
    started_at: Instant,
    is_caught_up: bool,
    /// Set after the log has truncated claims that were not read yet.
    snapshot_search: Option<SnapshotSearch>,
    claim_pending_until: Option<Instant>,
    records_since_snapshot: u32,
    snapshot_at: Instant,
    is_leaving: bool,
    /// Notified when this entry no longer owns any partition.
    drained: Vec<oneshot::Sender<()>>,
}

/// The claims that the log still retains, while a snapshot is searched for in them.
struct SnapshotSearch {
    oldest: Offset,
    records: Vec<PositionedClaim>,
}

impl OwnershipManager {
    fn members(&self) -> Vec<Member> {
        let now = Instant::now();
        let health = if self.is_leaving { MemberHealth::Leaving } else { MemberHealth::Serving };
        let own_member = Member { entry: self.args.entry.clone(), health };
        let peers = self.peers.iter().map(|(entry, peer)| Member {
            entry: entry.clone(),
            health: self.health(entry, peer, now),
        });
        std::iter::once(own_member).chain(peers).collect()
    }

    fn health(&self, entry: &EntryIdentity, peer: &PeerState, now: Instant) -> MemberHealth {
        if now.duration_since(peer.last_heard) < SUSPECT_AFTER {
            return match peer.is_leaving {
                true => MemberHealth::Leaving,
                false => MemberHealth::Serving,
            };
        }
        let is_alive =
            self.is_reachable_from_peers(entry, now) || self.log_activity.is_alive(entry, now);
        match is_alive {
            true => MemberHealth::Unreachable,
            false => MemberHealth::Dead,
        }
    }

    /// Returns whether another entry reports recent contact with an entry.
    fn is_reachable_from_peers(&self, entry: &EntryIdentity, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            let age = now.duration_since(peer.reported_at);
            peer.contacts.iter().any(|contact| {
                contact.entry == *entry
                    && age + Duration::from_millis(contact.last_reply_age_ms) < SUSPECT_AFTER
            })
        })
    }

    /// Adds owners that claims name to the peers, so that they are probed.
    fn track_owners(&mut self) {
        let owners: Vec<_> = self
            .state
            .iter()
            .filter_map(|(_, part)| part.owner())
            .filter(|owner| **owner != self.args.entry && !self.peers.contains_key(*owner))
            .cloned()
            .collect();
        for owner in owners {
            self.args.peers.get_or_open(owner.addr);
            let now = Instant::now();
            let state = PeerState {
                last_heard: now,
                is_leaving: false,
                contacts: Vec::new(),
                reported_at: now,
                watched_at: None,
            };
            self.peers.insert(owner, state);
        }
    }

    /// Applies records of the claims: starts takeovers of gained partitions and fences lost ones.
    async fn apply(&mut self, msg: Claims, ownership_manager: &ActorRef<Self>) {
        let mut gained = Vec::new();
        let mut lost = Vec::new();
        if self.is_caught_up {
            self.record_writers(&msg.records);
        }
        if let Some(snapshot_search) = &mut self.snapshot_search {
            snapshot_search.records.extend(msg.records);
            return self.recover(msg.next, msg.is_caught_up, ownership_manager).await;
        }
        for record in &msg.records {
            for owned in self.state.apply(record) {
                let owner = self.state.get(owned.partition).and_then(|part| part.owner());
                if owner == Some(&self.args.entry) {
                    gained.push(owned);
                } else {
                    lost.push(owned);
                }
            }
        }
        self.records_since_snapshot += msg.records.len() as u32;
        self.is_caught_up |= msg.is_caught_up;
        if !msg.records.is_empty() {
            self.track_owners();
            self.fence(lost).await;
            self.publish_owners();
            self.take_over(gained, ownership_manager);
        }
        self.args.position.send_replace(msg.next);
    }

    /// Rebuilds the ownership from a snapshot that the log still retains, if one has been read.
    async fn recover(
        &mut self,
        next: Offset,
        is_caught_up: bool,
        ownership_manager: &ActorRef<Self>,
    ) {
        let Some(snapshot_search) = &self.snapshot_search else { return };
        let recovered = OwnershipState::recover(
            self.args.partitions,
            snapshot_search.oldest,
            &snapshot_search.records,
        );
        let Ok(state) = recovered else {
            self.args.position.send_replace(next);
            return;
        };
        log::info!("ownership recovered from a snapshot of the claims");
        self.snapshot_search = None;
        self.state = state;
        self.is_caught_up = is_caught_up;
        let lost = self.serving.values().filter_map(|owned| self.newer_owner(*owned)).collect();
        let owned = self.state.owned_by(&self.args.entry);
        let is_new = |owned: &OwnedPartition| {
            let known = self.serving.get(&owned.partition);
            known.or_else(|| self.taking_over.get(&owned.partition)) != Some(owned)
        };
        let gained = owned.into_iter().filter(is_new).collect();
        self.track_owners();
        self.fence(lost).await;
        self.publish_owners();
        self.take_over(gained, ownership_manager);
        self.args.position.send_replace(next);
    }

    /// Returns a partition with the epoch of its newer owner, if there is one.
    fn newer_owner(&self, owned: OwnedPartition) -> Option<OwnedPartition> {
        let epoch = self.state.get(owned.partition)?.epoch();
        (epoch > owned.epoch).then_some(OwnedPartition { epoch, ..owned })
    }

    /// Records the writers of new claims as active if they do not reply on their links.
    fn record_writers(&mut self, records: &[PositionedClaim]) {
        let now = Instant::now();
        let writers = records.iter().filter_map(|positioned| match &positioned.record {
            ClaimRecord::Claim(claim) => Some(&claim.owner),
            ClaimRecord::Release(release) => Some(&release.owner),
            ClaimRecord::Snapshot(_) => None,
        });
        for writer in writers {
            if self.peers.get(writer).is_some_and(|peer| peer.is_unresponsive(now)) {
                self.log_activity.record_append(writer, now);
            }
        }
    }

    /// Reads the ends of the streams of entries that do not reply on their links.
    fn watch_unresponsive(&mut self, ownership_manager: &ActorRef<Self>) {
        let now = Instant::now();
        for (entry, peer) in &mut self.peers {
            let is_due = peer.watched_at.is_none_or(|at| now.duration_since(at) >= WATCH_INTERVAL);
            if peer.is_unresponsive(now) && is_due {
                peer.watched_at = Some(now);
                let log = Arc::clone(&self.args.log);
                let from = self.log_activity.stream_end(entry);
                tokio::spawn(watch_stream(log, entry.clone(), from, ownership_manager.clone()));
            }
        }
    }

    /// Stops serving partitions that have a newer owner.
    async fn fence(&mut self, lost: Vec<OwnedPartition>) {
        let lost: Vec<_> = lost
            .into_iter()
            .filter(|owned| {
                let was_serving = self.serving.swap_remove(&owned.partition).is_some();
                self.taking_over.swap_remove(&owned.partition).is_some() || was_serving
            })
            .collect();
        if lost.is_empty() {
            return;
        }
        log::warn!("stopped serving {} partitions, which have a new owner", lost.len());
        let _ = self.args.dispatcher.tell(Fence(lost)).await;
        self.update_links().await;
    }

    /// Sends the served partitions to the agents over their links.
    async fn update_links(&self) {
        let owned = self.serving.values().copied().collect();
        let _ = self.args.membership.tell(SetOwned(owned)).await;
    }

    fn publish_owners(&self) {
        let owners = self.state.iter().map(|(_, part)| part.owner().cloned()).collect();
        self.args.owners.send_replace(Arc::new(owners));
    }

    fn take_over(&mut self, gained: Vec<OwnedPartition>, ownership_manager: &ActorRef<Self>) {
        if gained.is_empty() {
            return;
        }
        metrics::counter!(metric_names::TAKEOVERS).increment(gained.len() as u64);
        log::info!("taking over {} partitions", gained.len());
        self.claim_pending_until = None;
        self.taking_over.extend(gained.iter().map(|owned| (owned.partition, *owned)));
        let run = TakeoverRun {
            entry: self.args.entry.clone(),
            clock: self.args.clock,
            log: Arc::clone(&self.args.log),
            partitions: self.args.partitions,
            settings: self.args.table,
            ownership: self.state.clone(),
            gained,
            dispatcher: self.args.dispatcher.clone(),
            membership: self.args.membership.clone(),
            ownership_manager: ownership_manager.clone(),
        };
        spawn_for(ownership_manager, run.run());
    }

    /// Returns whether the ownership is known well enough to claim or release partitions.
    fn may_plan(&self) -> bool {
        let is_settled = self.started_at.elapsed() >= START_GRACE;
        let is_claim_pending = self.claim_pending_until.is_some_and(|until| Instant::now() < until);
        self.is_caught_up && is_settled && !is_claim_pending
    }

    /// Plans the ownership, and claims and releases partitions accordingly.
    async fn apply_plan(&mut self) {
        let members = self.members();
        let plan = plan_ownership(&self.state, &members, &self.args.entry);
        let serving = members.iter().filter(|m| m.health == MemberHealth::Serving).count();
        let _ = self.args.dispatcher.tell(EntryCount(serving.max(1) as u32)).await;
        if !plan.claim.is_empty() && !self.is_leaving {
            self.claim(plan.claim);
        }
        let release = match self.is_leaving {
            true => self.serving.values().copied().collect(),
            false => plan.release,
        };
        self.release(release).await;
    }

    fn claim(&mut self, partitions: Vec<PartitionClaim>) {
        self.claim_pending_until = Some(Instant::now() + CLAIM_TIMEOUT);
        let replaced = partitions.iter().filter_map(|claim| self.state.get(claim.partition));
        let owners: Vec<_> = replaced.filter_map(|part| part.owner().cloned()).collect();
        owners.iter().for_each(|owner| self.log_activity.mark_replaced(owner));
        let record = ClaimRecord::Claim(Claim {
            owner: self.args.entry.clone(),
            partitions,
            claimed_ms: self.args.clock.now_ms(),
        });
        self.write_claim_record(record);
    }

    fn write_claim_record(&self, record: ClaimRecord) {
        if let Err(e) = self.args.claims.enqueue(&record) {
            log::warn!("cannot queue a record of claims for the log: {e}");
        }
    }

    /// Releases partitions: stops starting work for them, makes their records durable and then
    /// appends the release to the claims.
    async fn release(&mut self, partitions: Vec<OwnedPartition>) {
        let partitions: Vec<_> = partitions
            .into_iter()
            .filter(|owned| self.serving.swap_remove(&owned.partition).is_some())
            .collect();
        if partitions.is_empty() {
            return;
        }
        log::info!("releasing {} partitions", partitions.len());
        let next = |owned: &OwnedPartition| OwnedPartition { epoch: owned.epoch.next(), ..*owned };
        let _ = self.args.dispatcher.ask(Fence(partitions.iter().map(next).collect())).await;
        self.update_links().await;
        let journal = self.args.journal.clone();
        let claims = self.args.claims.clone();
        let owner = self.args.entry.clone();
        tokio::spawn(async move {
            let record = ClaimRecord::Release(Release { owner, partitions });
            if journal.flush().await.is_ok() {
                let _ = claims.commit(&record).await;
            }
        });
    }

    /// Appends a snapshot of the ownership if one is due.  The owner of the first partition does
    /// so.
    fn snapshot_if_due(&mut self) {
        let is_writer =
            self.state.iter().next().and_then(|(_, part)| part.owner()) == Some(&self.args.entry);
        let now = Instant::now();
        let is_due = now >= self.snapshot_at || self.records_since_snapshot >= RECORDS_PER_SNAPSHOT;
        if is_writer && is_due && self.is_caught_up {
            self.records_since_snapshot = 0;
            self.snapshot_at = now + SNAPSHOT_AFTER;
            let retention_ms = self.args.table.retention_ms();
            self.state.trim(self.args.clock.now_ms().saturating_sub(retention_ms));
            self.write_claim_record(ClaimRecord::Snapshot(self.state.snapshot()));
        }
    }

    fn notify_drained(&mut self) {
        let owns_any = !self.state.owned_by(&self.args.entry).is_empty();
        if self.is_leaving && !owns_any && self.taking_over.is_empty() {
            self.drained.drain(..).for_each(|tx| {
                let _ = tx.send(());
            });
        }
    }

    /// Removes entries that have not replied for two minutes and own no partition.
    fn remove_dead_peers(&mut self) {
        const REMOVE_AFTER: Duration = Duration::from_secs(120);
        let owners: Vec<_> =
            self.state.iter().filter_map(|(_, part)| part.owner().cloned()).collect();
        self.peers.retain(|entry, peer| {
            peer.last_heard.elapsed() < REMOVE_AFTER || owners.contains(entry)
        });
        let peers = &self.peers;
        self.log_activity.retain(|entry| peers.contains_key(entry));
    }
}

/// Sends the records of the claims to the ownership manager as they are appended to the log.
async fn follow_claims(log: Arc<dyn Log>, ownership_manager: WeakActorRef<OwnershipManager>) {
    let mut follower: Follower<ClaimRecord> =
        Follower::new(log, StreamName::claims(), Offset::default(), rand::random());
    loop {
        let event = follower.next().await;
        let Some(ownership_manager) = ownership_manager.upgrade() else { return };
        let is_sent = match event {
            FollowerEvent::Page(page) => {
                let positioned = page.records.into_iter().flat_map(|record| {
                    let offset = record.offset;
                    record.bodies.into_iter().map(move |body| (offset, body))
                });
                let records =
                    positioned.map(|(offset, record)| PositionedClaim { offset, record }).collect();
                let next = follower.position();
                ownership_manager
                    .tell(Claims { records, next, is_caught_up: page.is_caught_up })
                    .await
                    .is_ok()
            }
            FollowerEvent::Truncated { oldest } => {
                follower.seek(oldest);
                ownership_manager.tell(ClaimsTruncated { oldest }).await.is_ok()
            }
            FollowerEvent::Unreadable(e) => {
                // All entries skip the same record, so they agree on the claims that remain.
                log::error!("skipped an unreadable record of the claims: {e}");
                follower.seek(follower.position().next());
                continue;
            }
        };
        if !is_sent {
            return;
        }
    }
}

impl Actor for OwnershipManager {
    type Args = OwnershipManagerArgs;
    type Error = kameo::error::Infallible;

    async fn on_start(
        args: OwnershipManagerArgs,
        ownership_manager: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        spawn_for(
            &ownership_manager,
            follow_claims(Arc::clone(&args.log), ownership_manager.downgrade()),
        );
        args.peers.set_ownership_manager(ownership_manager.clone());
        let weak = ownership_manager.downgrade();
        spawn_for(&ownership_manager, async move {
            loop {
                sleep(TICK).await;
                let Some(ownership_manager) = weak.upgrade() else { return };
                if ownership_manager.tell(Tick).await.is_err() {
                    return;
                }
            }
        });
        Ok(Self {
            state: OwnershipState::new(args.partitions),
            peers: IndexMap::new(),
            log_activity: LogActivity::default(),
            taking_over: IndexMap::new(),
            serving: IndexMap::new(),
            started_at: Instant::now(),
            is_caught_up: false,
            snapshot_search: None,
            claim_pending_until: None,
            records_since_snapshot: 0,
            snapshot_at: Instant::now() + SNAPSHOT_AFTER,
            is_leaving: false,
            drained: Vec::new(),
            args,
        })
    }
}
