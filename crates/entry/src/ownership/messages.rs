//! Messages of the ownership manager.

use jobs::PositionedClaim;
use ports::Offset;
use rpc::{EntryIdentity, OwnedPartition, PeerContact, ProbeReply};
use tokio::sync::oneshot;

/// Records of the stream of claims, and whether its end has been reached.
pub(crate) struct Claims {
    pub(crate) records: Vec<PositionedClaim>,
    pub(crate) next: Offset,
    pub(crate) is_caught_up: bool,
}

/// The log has truncated claims that were not read yet; `oldest` is the first retained offset.
pub(crate) struct ClaimsTruncated {
    pub(crate) oldest: Offset,
}

/// Another entry replied to a probe of this one.
pub(crate) struct PeerReplied {
    pub(crate) reply: ProbeReply,
}

/// Another entry has probed this one.
pub(crate) struct PeerProbed(pub(crate) EntryIdentity);

/// A takeover is complete and the dispatcher serves its partitions.
pub(crate) struct TakenOver {
    pub(crate) owned: Vec<OwnedPartition>,
}

/// Releases all partitions; `tx` is notified when none is owned any more.
pub(crate) struct ReleaseAll {
    pub(crate) tx: oneshot::Sender<()>,
}

/// Requests what this entry reports to its peers: whether it is leaving, and the entries with
/// which it has had contact.
pub(crate) struct DescribeContacts;

#[derive(kameo::Reply)]
pub(crate) struct ContactsReply {
    pub(crate) is_leaving: bool,
    pub(crate) contacts: Vec<PeerContact>,
}

pub(crate) struct Tick;
