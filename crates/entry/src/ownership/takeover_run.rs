//! One takeover: records of the former owners, reports of the agents, then service.

use std::sync::Arc;

use futures::future::join_all;
use jobs::{OwnershipState, RestoredState, TableSettings, Takeover};
use kameo::actor::ActorRef;
use ports::Log;
use rpc::{EntryIdentity, OwnedPartition, StartedQuery};
use tokio::time::{Duration, Instant, sleep};
use types::PartitionCount;

use crate::{
    clock::Clock,
    dispatcher::Dispatcher,
    membership::{Links, MemberLink, Membership},
    messages::Restore,
    ownership::{OwnershipManager, TakenOver, stream_read::read_stream},
};

const AGENTS_TIMEOUT: Duration = Duration::from_millis(1_200);
const AGENTS_RETRY: Duration = Duration::from_millis(100);

pub(crate) struct TakeoverRun {
    pub(crate) entry: EntryIdentity,
    pub(crate) clock: Clock,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) partitions: PartitionCount,
    pub(crate) settings: TableSettings,
    pub(crate) ownership: OwnershipState,
    pub(crate) gained: Vec<OwnedPartition>,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    pub(crate) membership: ActorRef<Membership>,
    pub(crate) ownership_manager: ActorRef<OwnershipManager>,
}

impl TakeoverRun {
    pub(crate) async fn run(self) {
        let started_at = Instant::now();
        let claimed_ms = self.clock.now_ms();
        let mut takeover = Takeover::new(
            self.settings,
            self.partitions,
            &self.gained,
            &self.ownership,
            claimed_ms,
        );
        let former: Vec<_> = takeover.unread_streams().into_iter().cloned().collect();
        let oldest_ms = claimed_ms.saturating_sub(self.settings.retention_ms());
        for owner in &former {
            read_stream(&self.log, owner, oldest_ms, &mut takeover).await;
        }
        if !former.is_empty() {
            self.ask_agents(&mut takeover).await;
        }
        let restored = self.finish(takeover).await;
        log::info!(
            "took over {} partitions in {} ms",
            self.gained.len(),
            started_at.elapsed().as_millis()
        );
        let _ = self.dispatcher.ask(Restore(restored)).await;
        let _ = self.ownership_manager.tell(TakenOver { owned: self.gained }).await;
    }

    /// Waits until service may begin.
    async fn finish(&self, mut takeover: Takeover) -> RestoredState {
        loop {
            let now_ms = self.clock.now_ms();
            takeover = match takeover.finish(now_ms) {
                Ok(restored) => return restored,
                Err(takeover) => *takeover,
            };
            match takeover.serve_from_ms() {
                Some(from_ms) => {
                    sleep(Duration::from_millis(from_ms.saturating_sub(now_ms))).await;
                }
                None => {
                    sleep(AGENTS_RETRY).await;
                    self.ask_unanswered(&mut takeover).await;
                }
            }
        }
    }

    /// Asks every agent until all have answered or the time is up.
    async fn ask_agents(&self, takeover: &mut Takeover) {
        let deadline = Instant::now() + AGENTS_TIMEOUT;
        loop {
            self.ask_unanswered(takeover).await;
            let unanswered = takeover.unanswered_agents().len();
            if unanswered == 0 && takeover.serve_from_ms().is_some() {
                return;
            }
            if Instant::now() >= deadline {
                log::warn!("{unanswered} agents did not answer");
                return;
            }
            sleep(AGENTS_RETRY).await;
        }
    }

    async fn ask_unanswered(&self, takeover: &mut Takeover) {
        let Ok(links) = self.membership.ask(Links).await else { return };
        for link in &links.0 {
            takeover.expect_agent(link.identity.upstream.clone());
            takeover.on_agent_incarnation(&link.identity.upstream, link.identity.incarnation);
        }
        let unanswered: Vec<_> = takeover.unanswered_agents().into_iter().cloned().collect();
        let asked: Vec<_> =
            links.0.iter().filter(|link| unanswered.contains(&link.identity.upstream)).collect();
        let reports = join_all(asked.iter().map(|link| self.ask_agent(link))).await;
        for (link, report) in asked.iter().zip(reports) {
            if let Some(report) = report {
                let now_ms = self.clock.now_ms();
                takeover.on_agent_report(&link.identity.upstream, &self.gained, report, now_ms);
            }
        }
    }

    async fn ask_agent(&self, link: &MemberLink) -> Option<rpc::StartedReport> {
        let handle = link.handle.as_ref()?;
        let query = StartedQuery { entry: self.entry.clone(), partitions: self.gained.clone() };
        handle.started(query).await
    }
}
