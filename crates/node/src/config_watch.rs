//! Follows the operator's records in the store: the configuration and evacuation orders.

use std::{rc::Rc, sync::Arc, time::Duration};

use direct::{Evacuations, ZoneRecord};
use platform::{ReadOutcome, Record, Topic};
use ports::LogError;

use crate::{directory::Backoff, store_access::StoreAccess};

/// How long a read waits for a change. A lost reply must be noticed well within the time in which a
/// new configuration must be in force.
const READ_WAIT: Duration = Duration::from_millis(900);

/// What the operator's records are applied to.
pub(crate) trait OperatorRecords {
    /// Applies the value of a configuration record.
    fn apply_config(&self, raw: &[u8]);
    /// Applies the evacuated zones that a listing shows.
    fn apply_listed_zones(&self, listed: &Evacuations);
    /// Applies the records about zones among all records from the offset `from` up to `next`.
    fn apply_zone_records(&self, from: u64, next: u64, records: Vec<(Arc<str>, ZoneRecord)>);
}

/// Passes the operator's records in the store, and each later one, to `target`, for ever. Of each
/// listing and each page, the evacuation orders come first: tasks may start as soon as there is a
/// configuration.
pub(crate) async fn follow(store: Rc<StoreAccess>, target: Rc<dyn OperatorRecords>) {
    let mut backoff = Backoff::new();
    loop {
        // `StoreAccess` reports failures.
        if follow_once(&store, &*target, &mut backoff).await.is_err() {
            backoff.pause().await;
        }
    }
}

async fn follow_once(
    store: &StoreAccess,
    target: &dyn OperatorRecords,
    backoff: &mut Backoff,
) -> Result<(), LogError> {
    let listing = store.newest(Topic::Operator).await?;
    let mut next = listing.end;
    let end = Some(listing.end).filter(|_| listing.is_complete);
    target.apply_listed_zones(&Evacuations::from_listing(end, zone_records(&listing.records)));
    apply_configurations(&listing.records, target);
    loop {
        match store.read(Topic::Operator, next, READ_WAIT).await? {
            ReadOutcome::Expired => return Ok(()),
            ReadOutcome::Records(records, end) => {
                backoff.reset();
                target.apply_zone_records(next, end, zone_records(&records));
                apply_configurations(&records, target);
                next = end;
            }
        }
    }
}

fn zone_records(records: &[Record]) -> Vec<(Arc<str>, ZoneRecord)> {
    records.iter().filter_map(Record::zone_record).collect()
}

fn apply_configurations(records: &[Record], target: &dyn OperatorRecords) {
    for record in records.iter().filter(|record| record.is_configuration()) {
        target.apply_config(&record.value);
    }
}
