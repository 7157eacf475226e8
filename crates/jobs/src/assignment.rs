//! Assignment of partitions to entries, and the claims and releases that lead to it.

use indexmap::IndexMap;
use rpc::{EntryIdentity, OwnedPartition};
use types::{Digest, Partition};

use crate::{Member, MemberHealth, OwnershipState, PartitionClaim};

types::plain! {
    /// Records that one entry has to append to the claim stream.
    #[derive(Default)]
    pub struct OwnershipPlan {
        /// Partitions to claim now.
        pub claim: Vec<PartitionClaim>,
        /// Partitions to release once no more attempts are started for them and their job
        /// records are durable.
        pub release: Vec<OwnedPartition>,
    }
}

/// Plans the claims and releases of `entry`. Every entry with the same ownership and the same
/// members computes the same assignment: the numbers of partitions differ by at most one
/// between entries, a serving owner keeps what fits into its share, and the rest is assigned by
/// rendezvous hashing.
///
/// A partition is claimed when it was never owned, was released, or its owner is
/// [`MemberHealth::Dead`] or was restarted. The partitions of an owner that is missing from
/// `members` are not reassigned.
pub fn plan_ownership(
    state: &OwnershipState,
    members: &[Member],
    entry: &EntryIdentity,
) -> OwnershipPlan {
    let targets = assign(state, members);
    let claim = state
        .iter()
        .filter(|(partition, _)| targets.get(partition) == Some(&entry))
        .filter(|(_, part)| part.owner().is_none_or(|owner| is_replaceable(owner, members)))
        .map(|(partition, part)| PartitionClaim { partition, replaces: part.epoch() })
        .collect();
    let release = state
        .owned_by(entry)
        .into_iter()
        .filter(|part| targets.get(&part.partition).is_some_and(|target| *target != entry))
        .collect();
    OwnershipPlan { claim, release }
}

/// Assigns partitions to serving entries. The result is empty if no entry is serving, and omits
/// the partitions of absent owners.
fn assign<'a>(
    state: &'a OwnershipState,
    members: &'a [Member],
) -> IndexMap<Partition, &'a EntryIdentity> {
    let mut capacities = shares(state, members);
    let mut targets = IndexMap::new();
    let mut unassigned = Vec::new();
    for (partition, owner) in by_owner_preference(state) {
        match owner.and_then(|owner| capacities.get_full_mut(owner)) {
            Some((_, owner, capacity)) if *capacity > 0 => {
                *capacity -= 1;
                targets.insert(partition, *owner);
            }
            _ if owner.is_some_and(|owner| is_absent(owner, members)) => {}
            _ => unassigned.push(partition),
        }
    }
    unassigned.sort_unstable();
    for partition in unassigned {
        let best = capacities
            .iter_mut()
            .filter(|(_, capacity)| **capacity > 0)
            .max_by_key(|(entry, _)| score(partition, entry));
        if let Some((entry, capacity)) = best {
            *capacity -= 1;
            targets.insert(partition, *entry);
        }
    }
    targets
}

/// Lists partitions with their owners, in descending order of the score that the owner has for
/// the partition.
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

/// Returns the number of partitions that each serving entry is to own. The entries that own
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
        .filter(|owner| is_absent(owner, members))
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

/// Returns whether the partitions of an owner may be claimed without a release.
fn is_replaceable(owner: &EntryIdentity, members: &[Member]) -> bool {
    match health(owner, members) {
        Some(MemberHealth::Dead) => true,
        Some(_) => false,
        None => members.iter().any(|member| {
            member.entry.name == owner.name && member.entry.incarnation > owner.incarnation
        }),
    }
}

/// Returns whether an owner is neither serving nor leaving and may not be replaced either.
fn is_absent(owner: &EntryIdentity, members: &[Member]) -> bool {
    match health(owner, members) {
        Some(MemberHealth::Unreachable) => true,
        Some(_) => false,
        None => !is_replaceable(owner, members),
    }
}

/// Returns the rendezvous score of a partition for an entry. It depends on the name of the
/// entry only, so that a restarted entry gets the same partitions again.
fn score(partition: Partition, entry: &EntryIdentity) -> Digest {
    Digest::of_parts([&partition.0.to_be_bytes()[..], entry.name.as_str().as_bytes()])
}
