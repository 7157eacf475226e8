//! Directory of entries: each entry writes its address to the store, for processes that have not
//! learned it from another process.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use platform::{ReadOutcome, Record, Topic};
use ports::LogError;
use rand::RngExt;
use tokio::time::sleep;

use crate::{known_entries::KnownEntries, store_access::StoreAccess};

/// How long a read waits for an announcement. It is long because the store charges for reads and
/// entries are also learned from other entries.
const READ_WAIT: Duration = Duration::from_secs(20);
/// Pause after an announcement, because entries that start together announce themselves together.
const BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Limits of the pause after a failed call, milliseconds.
const MIN_PAUSE_MS: u64 = 200;
const MAX_PAUSE_MS: u64 = 1_600;

/// Exponential backoff with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    pub(crate) fn new() -> Self {
        Self { pause_ms: MIN_PAUSE_MS }
    }

    pub(crate) fn reset(&mut self) {
        self.pause_ms = MIN_PAUSE_MS;
    }

    pub(crate) async fn pause(&mut self) {
        let jittered = rand::rng().random_range(self.pause_ms / 2..=self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
        sleep(Duration::from_millis(jittered)).await;
    }
}

/// Writes this entry's address to the store, and repeats it until the store has acknowledged it.
pub(crate) async fn announce(store: Rc<StoreAccess>, name: Rc<str>, addr: SocketAddr) {
    let mut backoff = Backoff::new();
    // `StoreAccess` reports failures.
    while store.put(Topic::Entries, &name, addr.to_string().as_bytes()).await.is_err() {
        backoff.pause().await;
    }
}

/// Adds the entries that are announced in the store to `known_entries`, for ever; `own` is left
/// out.
pub(crate) async fn follow(
    store: Rc<StoreAccess>,
    known_entries: Rc<KnownEntries>,
    own: Option<SocketAddr>,
) {
    let mut backoff = Backoff::new();
    loop {
        // `StoreAccess` reports failures.
        if follow_once(&store, &known_entries, own, &mut backoff).await.is_err() {
            backoff.pause().await;
        }
    }
}

async fn follow_once(
    store: &StoreAccess,
    known_entries: &KnownEntries,
    own: Option<SocketAddr>,
    backoff: &mut Backoff,
) -> Result<(), LogError> {
    let listing = store.newest(Topic::Entries).await?;
    let mut next = listing.end;
    add_entries(known_entries, own, &listing.records);
    loop {
        match store.read(Topic::Entries, next, READ_WAIT).await? {
            ReadOutcome::Expired => return Ok(()),
            ReadOutcome::Records(records, end) => {
                backoff.reset();
                add_entries(known_entries, own, &records);
                next = end;
                if !records.is_empty() {
                    sleep(BATCH_PAUSE).await;
                }
            }
        }
    }
}

fn add_entries(known_entries: &KnownEntries, own: Option<SocketAddr>, records: &[Record]) {
    for record in records {
        let addr = std::str::from_utf8(&record.value).ok().and_then(|text| text.parse().ok());
        if let Some(addr) = addr.filter(|addr| Some(*addr) != own) {
            known_entries.add(addr);
        }
    }
}
