//! The dispatcher actor, which alone holds the jobs and queues of an entry and its view of the
//! upstreams.

mod admission;
mod cancels;
mod confirmation;
mod dispatch;
mod fleet;
mod handover;
mod job_info;
mod pool_queue;
mod replies;
mod submit;

use std::{collections::HashMap, sync::Arc};

use indexmap::IndexMap;
use jobs::{JobRecord, JobTable, TableSettings};
use journal::Writer;
use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    message::{Context, Message},
};
use placement::{Learner, Placer, RecallScheduler};
use policy::{Quota, RetryBudget, RetryBudgetBuilder};
use rand::{SeedableRng, rngs::SmallRng};
use rpc::EntryIdentity;
use services::SharedConfig;
use tokio::time::{Duration, sleep};
use types::{AttemptKey, JobId, Location, PartitionCount, PoolName, TeamName, UpstreamName};

use crate::{
    clock::Clock,
    dispatcher::{
        cancels::PendingCancels,
        confirmation::{ConfirmRound, Unconfirmed},
        fleet::{Member, PoolHealth},
        job_info::{InFlight, JobInfo},
        pool_queue::PoolQueues,
    },
    messages::{StatusTx, Tick},
    recorder::Recorder,
};

const TICK: Duration = Duration::from_millis(10);
/// Ticks between two updates of health, sizes, confirmation and marks.
const TICKS_PER_MAINTENANCE: u32 = 25;

/// Arguments of the dispatcher.
pub(crate) struct DispatcherArgs {
    pub(crate) entry: EntryIdentity,
    pub(crate) location: Location,
    pub(crate) clock: Clock,
    pub(crate) config: Arc<SharedConfig>,
    pub(crate) journal: Writer<JobRecord>,
    pub(crate) recorder: Recorder,
    pub(crate) table: TableSettings,
    pub(crate) partitions: PartitionCount,
    pub(crate) queue_bytes: usize,
}

/// Accepts jobs, queues their tasks and dispatches them to upstreams.
pub(crate) struct Dispatcher {
    entry: EntryIdentity,
    clock: Clock,
    config: Arc<SharedConfig>,
    table: JobTable<StatusTx>,
    partitions: PartitionCount,
    jobs: HashMap<JobId, JobInfo>,
    queues: PoolQueues,
    placer: Placer,
    learner: Learner,
    recall: RecallScheduler,
    health: IndexMap<PoolName, PoolHealth>,
    quotas: IndexMap<TeamName, Quota>,
    retries: RetryBudget,
    members: IndexMap<UpstreamName, Member>,
    in_flight: HashMap<AttemptKey, InFlight>,
    cancels: PendingCancels,
    journal: Writer<JobRecord>,
    recorder: Recorder,
    rng: SmallRng,
    /// Latest time at which the ownership was confirmed, Unix milliseconds.
    confirmed_ms: u64,
    confirm_round: Option<ConfirmRound>,
    unconfirmed: Unconfirmed,
    /// When the last mark was appended to the job records, Unix milliseconds.
    marked_ms: u64,
    ticks: u32,
}

impl Dispatcher {
    fn new(args: DispatcherArgs) -> Self {
        let now_us = args.clock.now_us();
        Self {
            placer: Placer::new(args.location),
            table: JobTable::new(args.table, args.partitions),
            queues: PoolQueues::new(args.queue_bytes),
            retries: RetryBudgetBuilder::default().build(now_us),
            entry: args.entry,
            clock: args.clock,
            config: args.config,
            partitions: args.partitions,
            journal: args.journal,
            recorder: args.recorder,
            jobs: HashMap::new(),
            learner: Learner::new(),
            recall: RecallScheduler::new(),
            health: IndexMap::new(),
            quotas: IndexMap::new(),
            members: IndexMap::new(),
            in_flight: HashMap::new(),
            cancels: PendingCancels::default(),
            rng: SmallRng::seed_from_u64(rand::random()),
            confirmed_ms: 0,
            confirm_round: None,
            unconfirmed: Unconfirmed::default(),
            marked_ms: 0,
            ticks: 0,
        }
    }

    /// Applies the quotas of teams and the ejection limits of pools of a new configuration.
    fn apply_config(&mut self, config: Arc<SharedConfig>) {
        self.config = config;
        self.update_quotas();
        self.rebuild_health();
    }

    fn update_quotas(&mut self) {
        let owned = self.table.owned().len() as u32;
        let total = u32::from(self.partitions.0);
        let quotas = &mut self.quotas;
        let limits = self
            .config
            .teams
            .iter()
            .filter_map(|(team, terms)| terms.quota_slots.map(|slots| (team, slots)));
        limits.for_each(|(team, slots)| {
            let quota = quotas.entry(team.clone()).or_insert_with(|| Quota::new(slots));
            quota.set_slots(slots);
            quota.set_share(owned, total);
        });
        let teams = &self.config.teams;
        quotas.retain(|team, _| teams.get(team).is_some_and(|terms| terms.quota_slots.is_some()));
    }
}

impl Actor for Dispatcher {
    type Args = DispatcherArgs;
    type Error = kameo::error::Infallible;

    async fn on_start(
        args: DispatcherArgs,
        dispatcher: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let weak: WeakActorRef<Self> = dispatcher.downgrade();
        tokio::spawn(async move {
            loop {
                sleep(TICK).await;
                let Some(dispatcher) = weak.upgrade() else { return };
                if dispatcher.tell(Tick).await.is_err() {
                    return;
                }
            }
        });
        let mut state = Self::new(args);
        state.update_quotas();
        Ok(state)
    }
}

impl Message<Tick> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        let dispatcher = cx.actor_ref().clone();
        self.expire();
        self.recall_queued();
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(TICKS_PER_MAINTENANCE) {
            self.poll_health();
            self.export_sizes();
            self.confirm_by_agents(&dispatcher);
            self.mark_journal();
        }
        self.dispatch_queued(&dispatcher);
        self.flush_cancels();
    }
}
