//! Entries announce themselves in the store, for processes that no other one has told of them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use platform::{ReadOutcome, Record, Topic};
use ports::LogError;
use rand::RngExt;
use tokio::time::sleep;

use crate::{known_entries::KnownEntries, store_access::StoreAccess};

/// How long a read waits for an announcement. Source: reads are priced, and entries are also
/// learned from other entries.
const READ_WAIT: Duration = Duration::from_secs(6);
/// Bounds of the pause after a failed call.
const FIRST_PAUSE_MS: u64 = 200;
const LONGEST_PAUSE_MS: u64 = 1_600;

/// A pause that doubles with each failure, with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    pub(crate) fn new() -> Self {
        Self { pause_ms: FIRST_PAUSE_MS }
    }

    pub(crate) fn reset(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
    }

    pub(crate) async fn pause(&mut self) {
        let jittered = rand::rng().random_range(self.pause_ms / 2..=self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
        sleep(Duration::from_millis(jittered)).await;
    }
}

/// Writes this entry's address until the store has acknowledged it.
pub(crate) async fn announce(store: Rc<StoreAccess>, name: Rc<str>, addr: SocketAddr) {
    let mut backoff = Backoff::new();
    // The loss of the store has its line already.
    while store.put(Topic::Entries, &name, addr.to_string().as_bytes()).await.is_err() {
        backoff.pause().await;
    }
}

/// Keeps the known entries up to date from the store.
pub(crate) async fn follow(
    store: Rc<StoreAccess>,
    known: Rc<KnownEntries>,
    own: Option<SocketAddr>,
) {
    let mut backoff = Backoff::new();
    loop {
        // The loss of the store has its line already.
        if follow_once(&store, &known, own, &mut backoff).await.is_err() {
            backoff.pause().await;
        }
    }
}

async fn follow_once(
    store: &StoreAccess,
    known: &KnownEntries,
    own: Option<SocketAddr>,
    backoff: &mut Backoff,
) -> Result<(), LogError> {
    let (records, mut next) = store.newest(Topic::Entries).await?;
    learn(known, own, &records);
    loop {
        match store.read(Topic::Entries, next, READ_WAIT).await? {
            ReadOutcome::Expired => return Ok(()),
            ReadOutcome::Records(records, end) => {
                backoff.reset();
                learn(known, own, &records);
                next = end;
            }
        }
    }
}

fn learn(known: &KnownEntries, own: Option<SocketAddr>, records: &[Record]) {
    for record in records {
        let addr = std::str::from_utf8(&record.value).ok().and_then(|text| text.parse().ok());
        if let Some(addr) = addr.filter(|addr| Some(*addr) != own) {
            known.add(addr);
        }
    }
}
