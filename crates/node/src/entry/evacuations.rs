//! Evacuation orders at an entry: from the store and from peers to the dispatcher and the log.

use std::sync::Arc;

use direct::{Evacuations, ZoneRecord};
use metrics::gauge;
use serde_json::json;

use crate::{config_watch::OperatorRecords, entry::state::EntryState, events::Level};

/// Source of a change in the log.
const STORE: &str = "store";

impl OperatorRecords for EntryState {
    fn apply_config(&self, raw: &[u8]) {
        self.apply_config(raw, STORE);
    }

    fn apply_listed_zones(&self, listed: &Evacuations) {
        self.merge_evacuations(listed, STORE);
    }

    fn apply_zone_records(&self, from: u64, next: u64, records: Vec<(Arc<str>, ZoneRecord)>) {
        let mut value = self.evacuations();
        value.apply_page(from, next, records);
        self.merge_evacuations(&value, STORE);
    }
}

impl EntryState {
    /// Returns the evacuated zones that this entry knows of.
    pub(crate) fn evacuations(&self) -> Evacuations {
        self.dispatcher.borrow().evacuations().clone()
    }

    /// Merges what the store or a peer says of evacuations, and tells the agents of a change.
    pub(crate) fn merge_evacuations(&self, other: &Evacuations, source: &str) {
        let now_ms = self.now_ms();
        let (changes, effects) = self.dispatcher.borrow_mut().merge_evacuations(other, now_ms);
        for change in &changes {
            let event = if change.is_evacuated { "zone_evacuated" } else { "zone_restored" };
            let fields = [
                ("zone", json!(&*change.zone)),
                ("source", json!(source)),
                ("offset", json!(change.offset)),
            ];
            self.events.emit(Level::Notable, event, &fields);
        }
        if !changes.is_empty() {
            let zones = self.dispatcher.borrow().evacuations().evacuated().count();
            #[allow(clippy::cast_precision_loss)]
            gauge!("entry_evacuated_zones").set(zones as f64);
        }
        self.apply(effects);
    }
}
