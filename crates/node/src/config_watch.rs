//! The newest configuration of the store.

use std::{rc::Rc, time::Duration};

use adapter::{ReadOutcome, Record, StoreClient, StoreError, Topic};

use crate::directory::Backoff;

/// How long a read waits for a change. Source: an answer that is lost must be noticed well within
/// the time in which a configuration has to be in force.
const READ_WAIT: Duration = Duration::from_millis(900);

/// Takes the raw record of a configuration.
pub(crate) type Adopt = Rc<dyn Fn(&[u8])>;

/// Hands every configuration that the store has to `adopt`.
pub(crate) async fn follow(store: StoreClient, adopt: Adopt) {
    let mut backoff = Backoff::new();
    let mut is_lost = false;
    loop {
        let result = follow_once(&store, &adopt, &mut backoff, &mut is_lost).await;
        if let Err(e) = result {
            if !is_lost {
                log::warn!("reading the configuration: {e}");
                is_lost = true;
            }
            backoff.pause().await;
        }
    }
}

async fn follow_once(
    store: &StoreClient,
    adopt: &Adopt,
    backoff: &mut Backoff,
    is_lost: &mut bool,
) -> Result<(), StoreError> {
    let (records, mut next) = store.newest(Topic::Operator).await?;
    hand_on(&records, adopt);
    loop {
        if std::mem::take(is_lost) {
            log::info!("reading the configuration works again");
        }
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
