//! Messages of the agent's core actor.

use rpc::{
    AttemptState, CancelBatch, Hello, HelloReply, StartedQuery, StartedReport, TaskReply, TaskStart,
};
use tokio::sync::oneshot;
use types::{AttemptKey, EntryName};

use crate::run_outcome::RunOutcome;

pub(crate) type ReplyTx = oneshot::Sender<TaskReply>;

/// Runs an attempt; the reply is sent to `tx` when it has ended.
pub(crate) struct RunAttempt {
    pub(crate) start: TaskStart,
    pub(crate) tx: ReplyTx,
}

/// Reports that the run of an attempt has ended.
pub(crate) struct RunEnded {
    pub(crate) key: AttemptKey,
    pub(crate) outcome: RunOutcome,
}

/// Recalls queued attempts and, on request, stops running ones.
pub(crate) struct Cancel(pub(crate) CancelBatch);

/// Returns the states of attempts; those not known are refused from then on.
pub(crate) struct QueryAttempts(pub(crate) Vec<AttemptKey>);

/// Returns the attempts of partitions and refuses lower epochs from then on.
pub(crate) struct QueryStarted(pub(crate) StartedQuery);

/// Connects an entry, or updates the partitions that it owns.
pub(crate) struct Handshake(pub(crate) Hello);

/// Refuses new and queued attempts; `tx` receives a message once no attempt runs.
pub(crate) struct Drain {
    pub(crate) tx: oneshot::Sender<()>,
}

/// Disconnects an entry that no longer replies and returns the slots offered to it.
pub(crate) struct EntryLost(pub(crate) EntryName);

/// Expires queued and retained attempts and updates the gauges, once a second.
pub(crate) struct Tick;

#[derive(kameo::Reply)]
pub(crate) struct QueryAttemptsReply(pub(crate) Vec<AttemptState>);

#[derive(kameo::Reply)]
pub(crate) struct HandshakeReply(pub(crate) HelloReply);

#[derive(kameo::Reply)]
pub(crate) struct QueryStartedReply(pub(crate) StartedReport);
