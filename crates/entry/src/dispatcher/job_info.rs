use std::{collections::HashMap, sync::Arc};

use placement::{Dispatch, JobSpread, KindIndex, UpstreamIndex};
use policy::{Charge, Ticket};
use services::KindConfig;
use tokio::time::Instant;
use types::{Epoch, KindName, ServiceName, TaskIndex, TeamName, UpstreamName};

use crate::{dispatcher::pool_queue::QueueIndex, messages::StatusTx};

/// State of a job in progress that the dispatcher keeps in addition to the job table.
pub(crate) struct JobInfo {
    pub(crate) queue: QueueIndex,
    pub(crate) team: TeamName,
    pub(crate) service: ServiceName,
    pub(crate) kind: KindName,
    pub(crate) terms: Arc<KindConfig>,
    pub(crate) kind_index: KindIndex,
    pub(crate) weight: u32,
    pub(crate) deadline: Instant,
    pub(crate) deadline_us: u64,
    pub(crate) spread: JobSpread,
    /// Tasks that are not queued until the job's record is durable.
    pub(crate) parked: Vec<TaskIndex>,
    pub(crate) tickets: HashMap<TaskIndex, Ticket>,
    /// Upstreams at which a task has failed; retries avoid them.
    pub(crate) failed_on: HashMap<TaskIndex, Vec<UpstreamIndex>>,
    /// Mean size of the job's payloads in bytes.
    pub(crate) task_bytes: usize,
    pub(crate) is_recorded: bool,
    /// Callers that wait for the acceptance only.
    pub(crate) accept_waiters: Vec<StatusTx>,
    pub(crate) traceparent: Option<String>,
}

/// An attempt that was sent and has no result yet.
pub(crate) struct InFlight {
    pub(crate) upstream: UpstreamName,
    pub(crate) epoch: Epoch,
    pub(crate) dispatch: Option<Dispatch>,
    pub(crate) charge: Option<Charge>,
    pub(crate) queue: QueueIndex,
    pub(crate) team: TeamName,
    pub(crate) kind_index: KindIndex,
    pub(crate) expected_us: u64,
    pub(crate) sent_us: u64,
    pub(crate) has_quota: bool,
}
