use indexmap::IndexMap;
use rpc::{EntryIdentity, OwnedPartition};
use types::{Digest, Partition};

use crate::{Member, MemberHealth, OwnershipState, PartitionClaim};

types::plain! {
    /// What one entry has to append to the stream of claims.
    #[derive(Default)]
    pub struct OwnershipPlan {
        /// Partitions to claim now.
        pub claim: Vec<PartitionClaim>,
        /// Partitions to release, once nothing more is started for them and their
        /// records are durable.
        pub release: Vec<OwnedPartition>,
    }
}

/// Plans the claims and releases of `me`.  Every entry with the same ownership and the
/// same members computes the same assignment: loads differ by at most one partition, an
/// owner in service keeps what fits into its share, and the rest goes by rendezvous
/// hashing.
///
/// A partition is claimed when it was never owned, was released, or its owner is
/// [`MemberHealth::Dead`] or was restarted.  The partitions of an owner that is missing
/// from `members` are left alone.
pub fn plan_ownership(
    state: &OwnershipState,
    members: &[Member],
    me: &EntryIdentity,
) -> OwnershipPlan {
    let targets = assign(state, members);
    let claim = state
        .iter()
        .filter(|(partition, _)| targets.get(partition) == Some(&me))
        .filter(|(_, part)| part.owner().is_none_or(|owner| is_gone(owner, members)))
        .map(|(partition, part)| PartitionClaim { partition, replaces: part.epoch() })
        .collect();
    let release = state
        .owned_by(me)
        .into_iter()
        .filter(|part| targets.get(&part.partition).is_some_and(|target| *target != me))
        .collect();
    OwnershipPlan { claim, release }
}

/// Assigns every partition to an entry in service; empty when there is none.
fn assign<'a>(
    state: &'a OwnershipState,
    members: &'a [Member],
) -> IndexMap<Partition, &'a EntryIdentity> {
    let mut room = shares(state, members);
    let mut targets = IndexMap::new();
    let mut open = Vec::new();
    for (partition, owner) in by_owner_preference(state) {
        match owner.and_then(|owner| room.get_full_mut(owner)) {
            Some((_, owner, room)) if *room > 0 => {
                *room -= 1;
                targets.insert(partition, *owner);
            }
            _ if owner.is_some_and(|owner| is_kept_by_absentee(owner, members)) => {}
            _ => open.push(partition),
        }
    }
    open.sort_unstable();
    for partition in open {
        let best = room
            .iter_mut()
            .filter(|(_, room)| **room > 0)
            .max_by_key(|(entry, _)| score(partition, entry));
        if let Some((entry, room)) = best {
            *room -= 1;
            targets.insert(partition, *entry);
        }
    }
    targets
}

/// Lists partitions with their owners, those that an owner scores highest first.
fn by_owner_preference(
    state: &OwnershipState,
) -> impl Iterator<Item = (Partition, Option<&EntryIdentity>)> {
    let mut parts: Vec<_> =
        state.iter().map(|(partition, part)| (partition, part.owner())).collect();
    parts.sort_by_cached_key(|(partition, owner)| {
        std::cmp::Reverse(owner.map(|owner| score(*partition, owner)))
    });
    parts.into_iter()
}

/// Returns how many partitions each entry in service is to own.  The entries that own
/// most take the remainder, so that the fewest partitions move.
fn shares<'a>(state: &OwnershipState, members: &'a [Member]) -> IndexMap<&'a EntryIdentity, usize> {
    let mut serving: Vec<_> = members
        .iter()
        .filter(|member| member.health == MemberHealth::Serving)
        .map(|member| &member.entry)
        .collect();
    let mut owned: IndexMap<&EntryIdentity, usize> = IndexMap::new();
    for owner in state.iter().filter_map(|(_, part)| part.owner()) {
        *owned.entry(owner).or_default() += 1;
    }
    serving.sort_by_key(|entry| {
        let load = owned.get(entry).copied().unwrap_or_default();
        (std::cmp::Reverse(load), &entry.name, entry.incarnation)
    });
    serving.dedup();
    let absent = state
        .iter()
        .filter_map(|(_, part)| part.owner())
        .filter(|owner| is_kept_by_absentee(owner, members))
        .count();
    let total = state.iter().count() - absent;
    let even = total / serving.len().max(1);
    let remainder = total % serving.len().max(1);
    serving
        .into_iter()
        .enumerate()
        .map(|(rank, entry)| (entry, even + usize::from(rank < remainder)))
        .collect()
}

fn health(entry: &EntryIdentity, members: &[Member]) -> Option<MemberHealth> {
    members.iter().find(|member| member.entry == *entry).map(|member| member.health)
}

/// Returns whether an owner may be replaced without a release.
fn is_gone(owner: &EntryIdentity, members: &[Member]) -> bool {
    match health(owner, members) {
        Some(MemberHealth::Dead) => true,
        Some(_) => false,
        None => members.iter().any(|member| {
            member.entry.name == owner.name && member.entry.incarnation > owner.incarnation
        }),
    }
}

/// Returns whether an owner is neither in service, leaving nor gone.
fn is_kept_by_absentee(owner: &EntryIdentity, members: &[Member]) -> bool {
    match health(owner, members) {
        Some(MemberHealth::Unreachable) => true,
        Some(_) => false,
        None => !is_gone(owner, members),
    }
}

/// Rendezvous score; it depends on the entry's name only, so that a restarted entry
/// takes the same partitions again.
fn score(partition: Partition, entry: &EntryIdentity) -> Digest {
    Digest::of_parts([&partition.0.to_be_bytes()[..], entry.name.as_str().as_bytes()])
}
