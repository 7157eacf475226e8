//! One takeover: reads the job records of the previous owners, queries the agents for the attempts
//! that they started, and hands the restored jobs to the dispatcher.

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
const AGENTS_RETRY_DELAY: Duration = Duration::from_millis(100);

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
        let previous_owners: Vec<_> = takeover.unread_streams().into_iter().cloned().collect();
        let oldest_ms = claimed_ms.saturating_sub(self.settings.retention_ms());
        for owner in &previous_owners {
            read_stream(&self.log, owner, oldest_ms, &mut takeover).await;
        }
        if !previous_owners.is_empty() {
            self.query_agents(&mut takeover).await;
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

    /// Waits until the partitions may be served, querying the agents that have not replied.
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
                    sleep(AGENTS_RETRY_DELAY).await;
                    self.query_unanswered(&mut takeover).await;
                }
            }
        }
    }

    /// Queries the agents until all have replied or the timeout has passed.
    async fn query_agents(&self, takeover: &mut Takeover) {
        let deadline = Instant::now() + AGENTS_TIMEOUT;
        loop {
            self.query_unanswered(takeover).await;
            let unanswered = takeover.unanswered_agents().len();
            if unanswered == 0 && takeover.serve_from_ms().is_some() {
                return;
            }
            if Instant::now() >= deadline {
                log::warn!("{unanswered} agents have not replied to the takeover");
                return;
            }
            sleep(AGENTS_RETRY_DELAY).await;
        }
    }

    /// Sends one query to each agent that has not replied.
    async fn query_unanswered(&self, takeover: &mut Takeover) {
        let Ok(links) = self.membership.ask(Links).await else { return };
        for link in &links.0 {
            takeover.expect_agent(link.identity.upstream.clone());
            takeover.on_agent_incarnation(&link.identity.upstream, link.identity.incarnation);
        }
        let unanswered: Vec<_> = takeover.unanswered_agents().into_iter().cloned().collect();
        let queried: Vec<_> =
            links.0.iter().filter(|link| unanswered.contains(&link.identity.upstream)).collect();
        let reports = join_all(queried.iter().map(|link| self.query_agent(link))).await;
        for (link, report) in queried.iter().zip(reports) {
            if let Some(report) = report {
                let now_ms = self.clock.now_ms();
                takeover.on_agent_report(&link.identity.upstream, &self.gained, report, now_ms);
            }
        }
    }

    async fn query_agent(&self, link: &MemberLink) -> Option<rpc::StartedReport> {
        let handle = link.handle.as_ref()?;
        let query = StartedQuery { entry: self.entry.clone(), partitions: self.gained.clone() };
        handle.started(query).await
    }
}
