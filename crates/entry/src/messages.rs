//! Messages of the dispatcher actor.

use std::sync::Arc;

use jobs::RestoredState;
use rpc::{AgentIdentity, ForwardedJob, HelloReply, JobQuery, JobStatus, OwnedPartition};
use services::SharedConfig;
use tokio::sync::oneshot;
use types::{AttemptKey, Incarnation, JobId, Refusal, UpstreamName};

use crate::link::{LinkHandle, RunOutcome};

/// Where the state of a job, or the refusal, is sent.
pub(crate) type StatusTx = oneshot::Sender<Result<JobStatus, Refusal>>;

pub(crate) struct Submit {
    pub(crate) job: ForwardedJob,
    pub(crate) tx: StatusTx,
}

pub(crate) struct Status {
    pub(crate) query: JobQuery,
    pub(crate) tx: StatusTx,
}

pub(crate) struct Cancel {
    pub(crate) query: JobQuery,
    pub(crate) tx: StatusTx,
}

/// The acceptance records of jobs are durable, and the entry was still the owner afterwards.
pub(crate) struct Recorded {
    pub(crate) ids: Vec<JobId>,
}

/// The entry was still the owner of its partitions at `sent_ms`, Unix milliseconds.
pub(crate) struct Confirmed {
    pub(crate) sent_ms: u64,
}

/// Partitions whose takeover is complete.
pub(crate) struct Restore(pub(crate) RestoredState);

/// Partitions that another entry owns now, or that this entry releases.
pub(crate) struct Fence(pub(crate) Vec<OwnedPartition>);

/// The number of entries in service.
pub(crate) struct EntryCount(pub(crate) u32);

/// The outcome of an attempt that was sent.
pub(crate) struct Ended {
    pub(crate) key: AttemptKey,
    pub(crate) upstream: UpstreamName,
    pub(crate) outcome: RunOutcome,
}

/// The link to an upstream has connected.
pub(crate) struct UpstreamUp {
    pub(crate) identity: AgentIdentity,
    pub(crate) handle: Arc<LinkHandle>,
    pub(crate) hello: HelloReply,
}

/// An upstream has announced that it is leaving.
pub(crate) struct UpstreamLeaving {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
}

/// The link to an upstream has been without a connection for too long.
pub(crate) struct UpstreamDown {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
}

/// An incarnation of an upstream was removed from the membership.
pub(crate) struct UpstreamGone {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
}

pub(crate) struct ConfigChanged(pub(crate) Arc<SharedConfig>);

pub(crate) struct Tick;

pub(crate) struct ListUpstreams;

types::wire! {
    /// One upstream in a reply of the admin API.
    pub(crate) struct UpstreamView {
        pub(crate) name: UpstreamName,
        pub(crate) incarnation: Incarnation,
        pub(crate) pool: types::PoolName,
        pub(crate) location: types::Location,
        pub(crate) state: String,
        pub(crate) slots: u32,
        pub(crate) outstanding: u32,
        pub(crate) offers: i32,
        pub(crate) speed: f64,
        pub(crate) health: String,
    }

    /// The upstreams in a reply of the admin API.
    #[derive(kameo::Reply)]
    pub(crate) struct UpstreamsView {
        pub(crate) upstreams: Vec<UpstreamView>,
    }
}
