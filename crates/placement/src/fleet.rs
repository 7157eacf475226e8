use std::collections::HashMap;

use indexmap::IndexSet;
use types::{Location, PoolName, RegionName, UpstreamName, ZoneName};

use crate::{
    PoolIndex, RackIndex, UpstreamIndex, UpstreamSpec,
    group::Group,
    indices::{GroupIndex, ZoneIndex},
    upstream::Upstream,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Zone {
    region: RegionName,
    name: ZoneName,
}

/// Registry of the upstreams that an entry knows, with an index for each upstream, pool, zone,
/// rack and group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    upstreams: Vec<Upstream>,
    by_name: HashMap<UpstreamName, UpstreamIndex>,
    pools: IndexSet<PoolName>,
    zones: IndexSet<Zone>,
    racks: IndexSet<Location>,
    groups: Vec<Group>,
    groups_by_pool: Vec<Vec<GroupIndex>>,
}

impl Fleet {
    pub(crate) fn upstream_index(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn upstream(&self, upstream: UpstreamIndex) -> &Upstream {
        &self.upstreams[upstream.as_usize()]
    }

    pub(crate) fn upstream_mut(&mut self, upstream: UpstreamIndex) -> &mut Upstream {
        &mut self.upstreams[upstream.as_usize()]
    }

    pub(crate) fn iter_indices(&self) -> impl Iterator<Item = UpstreamIndex> + use<> {
        (0..self.upstreams.len() as u32).map(UpstreamIndex)
    }

    pub(crate) fn pool_index(&mut self, name: &PoolName) -> PoolIndex {
        let (i, is_new) = self.pools.insert_full(name.clone());
        if is_new {
            self.groups_by_pool.push(Vec::new());
        }
        PoolIndex(i as u32)
    }

    pub(crate) fn zone_index(&mut self, location: &Location) -> ZoneIndex {
        let zone = Zone { region: location.region.clone(), name: location.zone.clone() };
        ZoneIndex(self.zones.insert_full(zone).0 as u32)
    }

    pub(crate) fn zone_count(&self) -> usize {
        self.zones.len()
    }

    pub(crate) fn pool_count(&self) -> usize {
        self.pools.len()
    }

    pub(crate) fn group(&self, group: GroupIndex) -> &Group {
        &self.groups[group.as_usize()]
    }

    pub(crate) fn groups_of(&self, pool: PoolIndex) -> &[GroupIndex] {
        self.groups_by_pool.get(pool.as_usize()).map_or(&[], Vec::as_slice)
    }

    /// Adds an upstream or replaces the specification of a known one.
    pub(crate) fn register(&mut self, spec: UpstreamSpec) -> UpstreamIndex {
        let group = Group {
            pool: self.pool_index(&spec.pool),
            zone: self.zone_index(&spec.location),
            capacity: spec.capacity,
        };
        let group = self.group_index(group);
        let rack = RackIndex(self.racks.insert_full(spec.location.clone()).0 as u32);
        match self.by_name.get(&spec.name) {
            Some(known) => {
                let upstream = &mut self.upstreams[known.as_usize()];
                (upstream.spec, upstream.group, upstream.rack) = (spec, group, rack);
                *known
            }
            None => self.add(Upstream::new(spec, group, rack)),
        }
    }

    fn add(&mut self, upstream: Upstream) -> UpstreamIndex {
        let index = UpstreamIndex(self.upstreams.len() as u32);
        self.by_name.insert(upstream.spec.name.clone(), index);
        self.upstreams.push(upstream);
        index
    }

    fn group_index(&mut self, group: Group) -> GroupIndex {
        if let Some(i) = self.groups.iter().position(|known| *known == group) {
            return GroupIndex(i as u32);
        }
        let index = GroupIndex(self.groups.len() as u32);
        self.groups.push(group);
        self.groups_by_pool[group.pool.as_usize()].push(index);
        index
    }
}
