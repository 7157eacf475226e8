//! Message handlers of the ownership manager.

use kameo::message::{Context, Message};
use rpc::{OwnedPartition, PeerContact};
use tokio::time::Instant;

use crate::{
    messages::Fence,
    ownership::{
        OwnershipManager, PeerState, SnapshotSearch,
        messages::{
            Claims, ClaimsCut, DescribeHeard, GiveUp, HeardReply, PeerHeard, PeerProbed, TakenOver,
            Tick,
        },
        stream_watch::StreamEnd,
    },
};

impl Message<Claims> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: Claims, cx: &mut Context<Self, ()>) {
        let ownership_manager = cx.actor_ref().clone();
        self.apply(msg, &ownership_manager).await;
        self.notify_drained();
    }
}

impl Message<ClaimsCut> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: ClaimsCut, _: &mut Context<Self, ()>) {
        self.is_caught_up = false;
        self.snapshot_search = Some(SnapshotSearch { oldest: msg.oldest, records: Vec::new() });
        log::warn!(
            "claims before offset {} were truncated from the log; searching for a snapshot",
            msg.oldest
        );
    }
}

impl Message<PeerHeard> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: PeerHeard, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let state = PeerState {
            last_heard: now,
            is_leaving: msg.reply.is_leaving,
            contacts: msg.reply.contacts,
            reported_at: now,
            watched_at: None,
        };
        self.log_activity.on_peer_contact(&msg.reply.entry);
        self.peers.insert(msg.reply.entry, state);
    }
}

impl Message<PeerProbed> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: PeerProbed, _: &mut Context<Self, ()>) {
        self.log_activity.record_probe(&msg.0, Instant::now());
    }
}

impl Message<StreamEnd> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: StreamEnd, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let is_unresponsive =
            self.peers.get(&msg.entry).is_some_and(|peer| peer.is_unresponsive(now));
        if let Some(end) = msg.end.filter(|_| is_unresponsive) {
            self.log_activity.record_stream_end(&msg.entry, end, now);
        }
    }
}

impl Message<TakenOver> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: TakenOver, _: &mut Context<Self, ()>) {
        let mut stale = Vec::new();
        for owned in msg.owned {
            match self.taking_over.get(&owned.partition) {
                Some(current) if *current == owned => {
                    self.taking_over.swap_remove(&owned.partition);
                    self.serving.insert(owned.partition, owned);
                }
                _ => stale.push(OwnedPartition { epoch: owned.epoch.next(), ..owned }),
            }
        }
        if !stale.is_empty() {
            let _ = self.args.dispatcher.tell(Fence(stale)).await;
        }
        log::info!("serving {} partitions", self.serving.len());
        self.update_links().await;
        self.publish_owners();
    }
}

impl Message<GiveUp> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, msg: GiveUp, _: &mut Context<Self, ()>) {
        self.is_leaving = true;
        self.drained.push(msg.tx);
        let serving = self.serving.values().copied().collect();
        self.release(serving).await;
        self.notify_drained();
    }
}

impl Message<DescribeHeard> for OwnershipManager {
    type Reply = HeardReply;

    async fn handle(&mut self, _: DescribeHeard, _: &mut Context<Self, HeardReply>) -> HeardReply {
        let heard = self.peers.iter().map(|(entry, peer)| PeerContact {
            entry: entry.clone(),
            last_reply_age_ms: peer.last_heard.elapsed().as_millis() as u64,
        });
        HeardReply { is_leaving: self.is_leaving, heard: heard.collect() }
    }
}

impl Message<Tick> for OwnershipManager {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        self.watch_unresponsive(cx.actor_ref());
        if self.may_plan() {
            self.apply_plan().await;
        }
        self.snapshot_if_due();
        self.remove_dead_peers();
        self.notify_drained();
    }
}
