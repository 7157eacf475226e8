//! The newest configuration of the store.

use std::{rc::Rc, time::Duration};

use platform::{ReadOutcome, Record, Topic};
use ports::LogError;

use crate::{directory::Backoff, store_access::StoreAccess};

/// How long a read waits for a change. Source: an answer that is lost must be noticed well within
/// the time in which a configuration has to be in force.
const READ_WAIT: Duration = Duration::from_millis(900);

/// Takes the raw record of a configuration.
pub(crate) type Adopt = Rc<dyn Fn(&[u8])>;

/// Hands every configuration that the store has to `adopt`.
pub(crate) async fn follow(store: Rc<StoreAccess>, adopt: Adopt) {
    let mut backoff = Backoff::new();
    loop {
        // The loss of the store has its line already.
        if follow_once(&store, &adopt, &mut backoff).await.is_err() {
            backoff.pause().await;
        }
    }
}

async fn follow_once(
    store: &StoreAccess,
    adopt: &Adopt,
    backoff: &mut Backoff,
) -> Result<(), LogError> {
    let (records, mut next) = store.newest(Topic::Operator).await?;
    hand_on(&records, adopt);
    loop {
        match store.read(Topic::Operator, next, READ_WAIT).await? {
            ReadOutcome::Expired => return Ok(()),
            ReadOutcome::Records(records, end) => {
                backoff.reset();
                hand_on(&records, adopt);
                next = end;
            }
        }
    }
}

fn hand_on(records: &[Record], adopt: &Adopt) {
    for record in records.iter().filter(|record| record.is_configuration()) {
        adopt(&record.value);
    }
}
