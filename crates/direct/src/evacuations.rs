//! Which availability zones are evacuated. The store's log defines the order of the records; a value
//! that is merged from several sources never reverts to an earlier state.

use std::sync::Arc;

use indexmap::IndexMap;

types::wire! {
    /// The last record about a zone.
    #[derive(Copy, Eq)]
    pub struct ZoneRecord {
        /// Offset of the record in the store's log.
        pub offset: u64,
        /// Whether it is an evacuation order; otherwise it is the removal of one.
        pub is_evacuated: bool,
    }

    /// The evacuation orders in force as of a position in the store's log.
    #[derive(Eq, Default)]
    pub struct Evacuations {
        /// Every record before this offset is accounted for.
        position: u64,
        /// Orders in force, and removals at or after `position`. A zone that is absent was not
        /// evacuated at the offset `position - 1`.
        zones: IndexMap<Arc<str>, ZoneRecord>,
    }
}

types::plain! {
    /// A change of the state of a zone.
    #[derive(Eq)]
    pub struct ZoneChange {
        /// The zone.
        pub zone: Arc<str>,
        /// Whether it is evacuated now.
        pub is_evacuated: bool,
        /// Offset of the record that is the cause. If the removal is not known itself, this is the
        /// last offset that is accounted for.
        pub offset: u64,
    }
}

impl ZoneRecord {
    fn max(self, other: Self) -> Self {
        // One offset has one record, so the second field only makes the order total.
        let key = |record: Self| (record.offset, record.is_evacuated);
        if key(other) > key(self) { other } else { self }
    }
}

impl Evacuations {
    /// Returns the state that a listing of the newest record of each key describes, whose first page
    /// ended at the offset `end`. Without an `end`, the listing was incomplete: it shows orders, but
    /// not that other zones have none.
    pub fn from_listing(
        end: Option<u64>,
        records: impl IntoIterator<Item = (Arc<str>, ZoneRecord)>,
    ) -> Self {
        let mut listed = Self { position: end.unwrap_or(0), ..Self::default() };
        records.into_iter().for_each(|(zone, record)| listed.insert(zone, record));
        listed.prune();
        listed
    }

    /// Applies the records about zones among all records from the offset `from` up to `next`.
    pub fn apply_page(
        &mut self,
        from: u64,
        next: u64,
        records: impl IntoIterator<Item = (Arc<str>, ZoneRecord)>,
    ) {
        let position = self.position;
        let is_new = |record: &ZoneRecord| record.offset >= position;
        for (zone, record) in records.into_iter().filter(|(_, record)| is_new(record)) {
            self.insert(zone, record);
        }
        // After a gap, records before `from` may be missing.
        if from <= self.position {
            self.position = self.position.max(next);
        }
        self.prune();
    }

    /// Merges another value. Returns whether a record about a zone has changed.
    ///
    /// A value accounts for every record before its position, so it replaces what the other one
    /// knows of these; of the records from there on, the latest one of each zone counts.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.zones.clone();
        if other.position > self.position {
            self.zones.retain(|_, record| record.offset >= other.position);
            self.position = other.position;
        }
        let is_covered = other.position < self.position;
        for (zone, record) in &other.zones {
            if !is_covered || record.offset >= self.position {
                self.insert(Arc::clone(zone), *record);
            }
        }
        self.prune();
        self.zones != before
    }

    /// Returns the offset of the evacuation order in force for a zone; `None` if there is none.
    pub fn order(&self, zone: &str) -> Option<u64> {
        self.zones.get(zone).filter(|record| record.is_evacuated).map(|record| record.offset)
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.order(zone).is_some()
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter().filter(|(_, record)| record.is_evacuated).map(|(zone, _)| zone)
    }

    /// Returns the zones that are evacuated in one of the two values only.
    pub(crate) fn changes_since(&self, before: &Self) -> Vec<ZoneChange> {
        let begun = self.evacuated().filter(|zone| !before.is_evacuated(zone));
        let ended = before.evacuated().filter(|zone| !self.is_evacuated(zone));
        begun.chain(ended).map(|zone| self.change(zone)).collect()
    }

    /// Returns the present state of a zone as a change.
    pub(crate) fn change(&self, zone: &Arc<str>) -> ZoneChange {
        let last_offset = self.position.saturating_sub(1);
        ZoneChange {
            zone: Arc::clone(zone),
            is_evacuated: self.is_evacuated(zone),
            offset: self.zones.get(zone).map_or(last_offset, |record| record.offset),
        }
    }

    fn insert(&mut self, zone: Arc<str>, record: ZoneRecord) {
        let known = self.zones.entry(zone).or_insert(record);
        *known = known.max(record);
    }

    /// Removes what follows from the position: removals before it.
    fn prune(&mut self) {
        let position = self.position;
        self.zones.retain(|_, record| record.is_evacuated || record.offset >= position);
    }
}
