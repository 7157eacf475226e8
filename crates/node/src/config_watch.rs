//! Follows the operator's configuration in the store.

use std::{rc::Rc, time::Duration};

use platform::{ReadOutcome, Record, Topic};
use ports::LogError;

use crate::{directory::Backoff, store_access::StoreAccess};

/// How long a read waits for a change. A lost reply must be noticed well within the time in which a
/// new configuration must be in force.
const READ_WAIT: Duration = Duration::from_millis(900);

/// Applies the value of a configuration record.
pub(crate) type ApplyConfig = Rc<dyn Fn(&[u8])>;

/// Passes the store's configuration, and each later change, to `apply`, for ever.
pub(crate) async fn follow(store: Rc<StoreAccess>, apply: ApplyConfig) {
    let mut backoff = Backoff::new();
    loop {
        // `StoreAccess` reports failures.
        if follow_once(&store, &apply, &mut backoff).await.is_err() {
            backoff.pause().await;
        }
    }
}

async fn follow_once(
    store: &StoreAccess,
    apply: &ApplyConfig,
    backoff: &mut Backoff,
) -> Result<(), LogError> {
    let (records, mut next) = store.newest(Topic::Operator).await?;
    apply_configurations(&records, apply);
    loop {
        match store.read(Topic::Operator, next, READ_WAIT).await? {
            ReadOutcome::Expired => return Ok(()),
            ReadOutcome::Records(records, end) => {
                backoff.reset();
                apply_configurations(&records, apply);
                next = end;
            }
        }
    }
}

fn apply_configurations(records: &[Record], apply: &ApplyConfig) {
    for record in records.iter().filter(|record| record.is_configuration()) {
        apply(&record.value);
    }
}
