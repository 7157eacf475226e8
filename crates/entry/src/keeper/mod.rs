//! Ownership of partitions: follows the claims, watches the other entries, claims what
//! falls to this entry and takes it over.

mod handlers;
mod life_signs;
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

pub(crate) use crate::keeper::{
    messages::{DescribeHeard, GiveUp, PeerHeard, PeerProbed, TakenOver},
    peers::PeerClients,
};
use crate::{
    clock::Clock,
    dispatcher::Dispatcher,
    keeper::{
        life_signs::LifeSigns,
        messages::{Claims, ClaimsCut, Tick},
        stream_watch::watch_stream,
        takeover_run::TakeoverRun,
    },
    messages::{EntryCount, Fence},
    metric_names,
    roster::{Roster, SetOwned},
    supervise::spawn_for,
};

const TICK: Duration = Duration::from_millis(100);
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Silence from which on an entry's records in the log are looked at.
const WATCH_AFTER: Duration = Duration::from_millis(700);
const WATCH_EVERY: Duration = Duration::from_millis(300);
const START_GRACE: Duration = Duration::from_millis(800);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const SNAPSHOT_EVERY_RECORDS: u32 = 64;
const SNAPSHOT_AFTER: Duration = Duration::from_secs(600);

/// Who owns each partition, as this entry knows it.
pub(crate) type Owners = Arc<Vec<Option<EntryIdentity>>>;

/// What a keeper is built from.
pub(crate) struct KeeperArgs {
    pub(crate) entry: EntryIdentity,
    pub(crate) clock: Clock,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) partitions: PartitionCount,
    pub(crate) table: TableSettings,
    pub(crate) claims: Writer<ClaimRecord>,
    pub(crate) journal: Writer<JobRecord>,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    pub(crate) roster: ActorRef<Roster>,
    pub(crate) peers: PeerClients,
    pub(crate) owners: watch::Sender<Owners>,
    pub(crate) position: watch::Sender<Offset>,
}

/// What is known of another entry process.
struct PeerState {
    last_heard: Instant,
    is_leaving: bool,
    heard: Vec<PeerContact>,
    reported_at: Instant,
    /// When the entry's records were last looked at.
    watched_at: Option<Instant>,
}

impl PeerState {
    fn is_silent(&self, now: Instant) -> bool {
        now.duration_since(self.last_heard) >= WATCH_AFTER
    }
}

pub(crate) struct Keeper {
    args: KeeperArgs,
    state: OwnershipState,
    peers: IndexMap<EntryIdentity, PeerState>,
    life_signs: LifeSigns,
    taking_over: IndexMap<Partition, OwnedPartition>,
    serving: IndexMap<Partition, OwnedPartition>,
    begun: Instant,
    is_caught_up: bool,
    cut: Option<Cut>,
    claim_due: Option<Instant>,
    records_since_snapshot: u32,
    snapshot_at: Instant,
    is_leaving: bool,
    drained: Vec<oneshot::Sender<()>>,
}

/// The part of the claims that is kept, while a snapshot is looked for in it.
struct Cut {
    oldest: Offset,
    records: Vec<PositionedClaim>,
}

impl Keeper {
    fn members(&self) -> Vec<Member> {
        let now = Instant::now();
        let health = if self.is_leaving { MemberHealth::Leaving } else { MemberHealth::Serving };
        let me = Member { entry: self.args.entry.clone(), health };
        let peers = self.peers.iter().map(|(entry, peer)| Member {
            entry: entry.clone(),
            health: self.health(entry, peer, now),
        });
        std::iter::once(me).chain(peers).collect()
    }

    fn health(&self, entry: &EntryIdentity, peer: &PeerState, now: Instant) -> MemberHealth {
        if now.duration_since(peer.last_heard) < SUSPECT_AFTER {
            return match peer.is_leaving {
                true => MemberHealth::Leaving,
                false => MemberHealth::Serving,
            };
        }
        let is_alive = self.is_heard_elsewhere(entry, now) || self.life_signs.is_alive(entry, now);
        match is_alive {
            true => MemberHealth::Unreachable,
            false => MemberHealth::Dead,
        }
    }

    fn is_heard_elsewhere(&self, entry: &EntryIdentity, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            let age = now.duration_since(peer.reported_at);
            peer.heard.iter().any(|heard| {
                heard.entry == *entry
                    && age + Duration::from_millis(heard.last_reply_age_ms) < SUSPECT_AFTER
            })
        })
    }

    /// Notices owners named by claims, so that they are probed.
    fn learn_owners(&mut self) {
        let owners: Vec<_> = self
            .state
            .iter()
            .filter_map(|(_, part)| part.owner())
            .filter(|owner| **owner != self.args.entry && !self.peers.contains_key(*owner))
            .cloned()
            .collect();
        for owner in owners {
            self.args.peers.add(owner.addr);
            let now = Instant::now();
            let state = PeerState {
                last_heard: now,
                is_leaving: false,
                heard: Vec::new(),
                reported_at: now,
                watched_at: None,
            };
            self.peers.insert(owner, state);
        }
    }

    async fn apply(&mut self, msg: Claims, keeper: &ActorRef<Self>) {
        let mut gained = Vec::new();
        let mut lost = Vec::new();
        if self.is_caught_up {
            self.note_writers(&msg.records);
        }
        if let Some(cut) = &mut self.cut {
            cut.records.extend(msg.records);
            return self.recover(msg.next, msg.is_caught_up, keeper).await;
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
            self.learn_owners();
            self.fence(lost).await;
            self.publish_owners();
            self.take_over(gained, keeper);
        }
        self.args.position.send_replace(msg.next);
    }

    /// Folds ownership anew from a snapshot that the log still keeps.
    async fn recover(&mut self, next: Offset, is_caught_up: bool, keeper: &ActorRef<Self>) {
        let Some(cut) = &self.cut else { return };
        let recovered = OwnershipState::recover(self.args.partitions, cut.oldest, &cut.records);
        let Ok(state) = recovered else {
            self.args.position.send_replace(next);
            return;
        };
        log::info!("ownership recovered from a snapshot of the claims");
        self.cut = None;
        self.state = state;
        self.is_caught_up = is_caught_up;
        let lost = self.serving.values().filter_map(|owned| self.newer_owner(*owned)).collect();
        let owned = self.state.owned_by(&self.args.entry);
        let is_new = |owned: &OwnedPartition| {
            let known = self.serving.get(&owned.partition);
            known.or_else(|| self.taking_over.get(&owned.partition)) != Some(owned)
        };
        let gained = owned.into_iter().filter(is_new).collect();
        self.learn_owners();
        self.fence(lost).await;
        self.publish_owners();
        self.take_over(gained, keeper);
        self.args.position.send_replace(next);
    }

    /// Returns the epoch of a newer owner of a partition that is served here.
    fn newer_owner(&self, owned: OwnedPartition) -> Option<OwnedPartition> {
        let epoch = self.state.get(owned.partition)?.epoch();
        (epoch > owned.epoch).then_some(OwnedPartition { epoch, ..owned })
    }

    /// Takes new claims for signs of life of entries that do not answer.
    fn note_writers(&mut self, records: &[PositionedClaim]) {
        let now = Instant::now();
        let writers = records.iter().filter_map(|positioned| match &positioned.record {
            ClaimRecord::Claim(claim) => Some(&claim.owner),
            ClaimRecord::Release(release) => Some(&release.owner),
            ClaimRecord::Snapshot(_) => None,
        });
        for writer in writers {
            if self.peers.get(writer).is_some_and(|peer| peer.is_silent(now)) {
                self.life_signs.note_record(writer, now);
            }
        }
    }

    /// Looks at the records of entries that do not answer.
    fn watch_silent(&mut self, keeper: &ActorRef<Self>) {
        let now = Instant::now();
        for (entry, peer) in &mut self.peers {
            let is_due = peer.watched_at.is_none_or(|at| now.duration_since(at) >= WATCH_EVERY);
            if peer.is_silent(now) && is_due {
                peer.watched_at = Some(now);
                let log = Arc::clone(&self.args.log);
                let from = self.life_signs.end(entry);
                tokio::spawn(watch_stream(log, entry.clone(), from, keeper.clone()));
            }
        }
    }

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
        log::warn!("{} partitions have a new owner", lost.len());
        let _ = self.args.dispatcher.tell(Fence(lost)).await;
        self.renew_links().await;
    }

    async fn renew_links(&self) {
        let owned = self.serving.values().copied().collect();
        let _ = self.args.roster.tell(SetOwned(owned)).await;
    }

    fn publish_owners(&self) {
        let owners = self.state.iter().map(|(_, part)| part.owner().cloned()).collect();
        self.args.owners.send_replace(Arc::new(owners));
    }

    fn take_over(&mut self, gained: Vec<OwnedPartition>, keeper: &ActorRef<Self>) {
        if gained.is_empty() {
            return;
        }
        metrics::counter!(metric_names::TAKEOVERS).increment(gained.len() as u64);
        log::info!("taking over {} partitions", gained.len());
        self.claim_due = None;
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
            roster: self.args.roster.clone(),
            keeper: keeper.clone(),
        };
        spawn_for(keeper, run.run());
    }

    fn may_plan(&self) -> bool {
        let is_settled = self.begun.elapsed() >= START_GRACE;
        let is_claiming = self.claim_due.is_some_and(|due| Instant::now() < due);
        self.is_caught_up && is_settled && !is_claiming
    }

    async fn act(&mut self) {
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
        self.claim_due = Some(Instant::now() + CLAIM_TIMEOUT);
        let replaced = partitions.iter().filter_map(|claim| self.state.get(claim.partition));
        let owners: Vec<_> = replaced.filter_map(|part| part.owner().cloned()).collect();
        owners.iter().for_each(|owner| self.life_signs.note_replaced(owner));
        let record = ClaimRecord::Claim(Claim {
            owner: self.args.entry.clone(),
            partitions,
            claimed_ms: self.args.clock.now_ms(),
        });
        self.write(record);
    }

    fn write(&self, record: ClaimRecord) {
        if let Err(e) = self.args.claims.enqueue(&record) {
            log::warn!("claim is not written: {e}");
        }
    }

    /// Stops starting work for partitions, makes their records durable, and says so.
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
        self.renew_links().await;
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

    fn snapshot_if_due(&mut self) {
        let is_writer =
            self.state.iter().next().and_then(|(_, part)| part.owner()) == Some(&self.args.entry);
        let now = Instant::now();
        let is_due =
            now >= self.snapshot_at || self.records_since_snapshot >= SNAPSHOT_EVERY_RECORDS;
        if is_writer && is_due && self.is_caught_up {
            self.records_since_snapshot = 0;
            self.snapshot_at = now + SNAPSHOT_AFTER;
            let retention_ms = self.args.table.retention_ms();
            self.state.trim(self.args.clock.now_ms().saturating_sub(retention_ms));
            self.write(ClaimRecord::Snapshot(self.state.snapshot()));
        }
    }

    fn tell_drained(&mut self) {
        let owns_any = !self.state.owned_by(&self.args.entry).is_empty();
        if self.is_leaving && !owns_any && self.taking_over.is_empty() {
            self.drained.drain(..).for_each(|tx| {
                let _ = tx.send(());
            });
        }
    }

    fn forget_dead(&mut self) {
        const FORGET_AFTER: Duration = Duration::from_secs(120);
        let owners: Vec<_> =
            self.state.iter().filter_map(|(_, part)| part.owner().cloned()).collect();
        self.peers.retain(|entry, peer| {
            peer.last_heard.elapsed() < FORGET_AFTER || owners.contains(entry)
        });
        let peers = &self.peers;
        self.life_signs.retain(|entry| peers.contains_key(entry));
    }
}

async fn follow_claims(log: Arc<dyn Log>, keeper: WeakActorRef<Keeper>) {
    let mut follower: Follower<ClaimRecord> =
        Follower::new(log, StreamName::claims(), Offset::default(), rand::random());
    loop {
        let followed = follower.next().await;
        let Some(keeper) = keeper.upgrade() else { return };
        let is_told = match followed {
            FollowerEvent::Page(page) => {
                let positioned = page.records.into_iter().flat_map(|record| {
                    let offset = record.offset;
                    record.bodies.into_iter().map(move |body| (offset, body))
                });
                let records =
                    positioned.map(|(offset, record)| PositionedClaim { offset, record }).collect();
                let next = follower.position();
                keeper.tell(Claims { records, next, is_caught_up: page.is_caught_up }).await.is_ok()
            }
            FollowerEvent::Truncated { oldest } => {
                follower.seek(oldest);
                keeper.tell(ClaimsCut { oldest }).await.is_ok()
            }
            FollowerEvent::Unreadable(e) => {
                log::error!("claims cannot be followed further: {e}");
                return std::future::pending().await;
            }
        };
        if !is_told {
            return;
        }
    }
}

impl Actor for Keeper {
    type Args = KeeperArgs;
    type Error = kameo::error::Infallible;

    async fn on_start(args: KeeperArgs, keeper: ActorRef<Self>) -> Result<Self, Self::Error> {
        spawn_for(&keeper, follow_claims(Arc::clone(&args.log), keeper.downgrade()));
        args.peers.set_keeper(keeper.clone());
        let weak = keeper.downgrade();
        spawn_for(&keeper, async move {
            loop {
                sleep(TICK).await;
                let Some(keeper) = weak.upgrade() else { return };
                if keeper.tell(Tick).await.is_err() {
                    return;
                }
            }
        });
        Ok(Self {
            state: OwnershipState::new(args.partitions),
            peers: IndexMap::new(),
            life_signs: LifeSigns::default(),
            taking_over: IndexMap::new(),
            serving: IndexMap::new(),
            begun: Instant::now(),
            is_caught_up: false,
            cut: None,
            claim_due: None,
            records_since_snapshot: 0,
            snapshot_at: Instant::now() + SNAPSHOT_AFTER,
            is_leaving: false,
            drained: Vec::new(),
            args,
        })
    }
}
