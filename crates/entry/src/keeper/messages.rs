//! Messages of the keeper.

use jobs::PositionedClaim;
use ports::Offset;
use rpc::{EntryIdentity, OwnedPartition, PeerContact, ProbeReply};
use tokio::sync::oneshot;

/// Records of the stream of claims, or the fact that its end was reached.
pub(crate) struct Claims {
    pub(crate) records: Vec<PositionedClaim>,
    pub(crate) next: Offset,
    pub(crate) is_caught_up: bool,
}

/// The stream of claims was cut before the next record.
pub(crate) struct ClaimsCut {
    pub(crate) oldest: Offset,
}

/// Another entry answered a probe.
pub(crate) struct PeerHeard {
    pub(crate) reply: ProbeReply,
}

/// Another entry has sent a probe.
pub(crate) struct PeerProbed(pub(crate) EntryIdentity);

/// A takeover is complete and the dispatcher serves the partitions.
pub(crate) struct TakenOver {
    pub(crate) owned: Vec<OwnedPartition>,
}

/// Gives every partition up; `tx` is told when all are released.
pub(crate) struct GiveUp {
    pub(crate) tx: oneshot::Sender<()>,
}

/// Asks what this entry tells others about itself and them.
pub(crate) struct DescribeHeard;

#[derive(kameo::Reply)]
pub(crate) struct HeardReply {
    pub(crate) is_leaving: bool,
    pub(crate) heard: Vec<PeerContact>,
}

pub(crate) struct Tick;
