use rand::{Rng, RngExt};

use crate::{
    UpstreamIndex,
    indices::GroupIndex,
    speed_class::{SpeedClass, fastest_first},
};

/// Where an upstream is listed.
#[derive(Clone, Copy, Debug)]
struct Membership {
    group: GroupIndex,
    class: SpeedClass,
    position: usize,
}

/// Upstreams of one group by speed class, with the bit set of non-empty classes and the sum of
/// the sampling weights.
#[derive(Clone, Debug)]
struct GroupMembers {
    occupied: u64,
    by_class: [Vec<UpstreamIndex>; SpeedClass::COUNT],
    weight: u64,
}

/// A set of upstreams, indexed by group and speed class.  The time for a change or a sample does
/// not depend on the number of upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedIndex {
    groups: Vec<GroupMembers>,
    memberships: Vec<Option<Membership>>,
}

impl Default for GroupMembers {
    fn default() -> Self {
        Self { occupied: 0, by_class: std::array::from_fn(|_| Vec::new()), weight: 0 }
    }
}

impl SpeedIndex {
    /// Moves an upstream to a class of a group, or removes it from the set.
    pub(crate) fn set(
        &mut self,
        upstream: UpstreamIndex,
        target: Option<(GroupIndex, SpeedClass)>,
    ) {
        if self.memberships.len() <= upstream.as_usize() {
            self.memberships.resize(upstream.as_usize() + 1, None);
        }
        let current = self.memberships[upstream.as_usize()];
        if current.map(|membership| (membership.group, membership.class)) == target {
            return;
        }
        if let Some(membership) = current {
            self.remove(membership);
        }
        self.memberships[upstream.as_usize()] =
            target.map(|(group, class)| self.insert(upstream, group, class));
    }

    /// Iterates over the non-empty classes of a group, fastest first.
    pub(crate) fn classes(&self, group: GroupIndex) -> impl Iterator<Item = SpeedClass> {
        fastest_first(self.groups.get(group.as_usize()).map_or(0, |members| members.occupied))
    }

    /// Returns the members of a class of a group.
    pub(crate) fn members(&self, group: GroupIndex, class: SpeedClass) -> &[UpstreamIndex] {
        self.groups.get(group.as_usize()).map_or(&[], |members| &members.by_class[class.as_usize()])
    }

    /// Samples an upstream of the groups with a probability proportional to its speed.
    pub(crate) fn sample(
        &self,
        rng: &mut impl Rng,
        groups: impl Iterator<Item = GroupIndex> + Clone,
    ) -> Option<UpstreamIndex> {
        let total: u64 = groups.clone().map(|group| self.weight(group)).sum();
        if total == 0 {
            return None;
        }
        let mut offset = rng.random_range(0..total);
        for group in groups {
            let weight = self.weight(group);
            if offset < weight {
                return self.member_at_offset(group, offset);
            }
            offset -= weight;
        }
        None
    }

    fn weight(&self, group: GroupIndex) -> u64 {
        self.groups.get(group.as_usize()).map_or(0, |members| members.weight)
    }

    /// Returns the member of a group at an offset into the cumulative weights of its members.
    fn member_at_offset(&self, group: GroupIndex, mut offset: u64) -> Option<UpstreamIndex> {
        for class in self.classes(group) {
            let members = self.members(group, class);
            let weight = members.len() as u64 * class.weight();
            if offset < weight {
                return members.get((offset / class.weight()) as usize).copied();
            }
            offset -= weight;
        }
        None
    }

    fn insert(
        &mut self,
        upstream: UpstreamIndex,
        group: GroupIndex,
        class: SpeedClass,
    ) -> Membership {
        if self.groups.len() <= group.as_usize() {
            self.groups.resize_with(group.as_usize() + 1, GroupMembers::default);
        }
        let members = &mut self.groups[group.as_usize()];
        members.occupied |= 1 << class.as_usize();
        members.weight += class.weight();
        let list = &mut members.by_class[class.as_usize()];
        list.push(upstream);
        Membership { group, class, position: list.len() - 1 }
    }

    fn remove(&mut self, membership: Membership) {
        let members = &mut self.groups[membership.group.as_usize()];
        let list = &mut members.by_class[membership.class.as_usize()];
        list.swap_remove(membership.position);
        if let Some(moved) = list.get(membership.position) {
            self.memberships[moved.as_usize()] = Some(membership);
        }
        if list.is_empty() {
            members.occupied &= !(1 << membership.class.as_usize());
        }
        members.weight -= membership.class.weight();
    }
}
