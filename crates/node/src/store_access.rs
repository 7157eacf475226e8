//! Access of a process to the platform's store, within the process's share of the store's rates.

use std::{cell::Cell, rc::Rc, time::Duration};

use platform::{Listing, ReadOutcome, StoreClient, Topic};
use ports::{CallBudget, LogError};
use serde_json::json;
use types::StepError;

use crate::{
    clock,
    events::{Events, Level},
    settings::StoreSettings,
};

/// Longest time for a reply of the store, in addition to the time that a read waits for records. It
/// is well below the time within which a new configuration must be in force.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls the store at no more than this process's share of the store's rates. The decision log gets
/// one line when calls begin to fail and one when they succeed again.
pub(crate) struct StoreAccess {
    client: StoreClient,
    appends: CallBudget,
    reads: CallBudget,
    events: Rc<Events>,
    lost_at_ms: Cell<Option<u64>>,
}

impl StoreAccess {
    pub(crate) fn new(settings: &StoreSettings, events: Rc<Events>) -> Result<Rc<Self>, StepError> {
        let client = StoreClient::new(format!("http://{}", settings.address), STORE_TIMEOUT)?;
        let processes = settings.processes as usize;
        Ok(Rc::new(Self {
            client,
            appends: CallBudget::new(f64::from(settings.appends_per_s), processes),
            reads: CallBudget::new(f64::from(settings.reads_per_s), processes),
            events,
            lost_at_ms: Cell::new(None),
        }))
    }

    /// Applies changed rates of the store, or a changed number of processes that share them.
    pub(crate) fn set_rates(&self, settings: &StoreSettings) {
        let processes = settings.processes as usize;
        self.appends.set_share(f64::from(settings.appends_per_s), processes);
        self.reads.set_share(f64::from(settings.reads_per_s), processes);
    }

    pub(crate) async fn newest(&self, topic: Topic) -> Result<Listing, LogError> {
        self.reads.acquire().await;
        self.record_result("newest", self.client.newest(topic).await)
    }

    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<ReadOutcome, LogError> {
        self.reads.acquire().await;
        self.record_result("read", self.client.read_keyed(topic, from, wait).await)
    }

    pub(crate) async fn put(&self, topic: Topic, key: &str, value: &[u8]) -> Result<(), LogError> {
        self.appends.acquire().await;
        self.record_result("append", self.client.put(topic, key, value).await)
    }

    /// Emits a line if the store has just become unavailable or available again.
    fn record_result<T>(&self, call: &str, result: Result<T, LogError>) -> Result<T, LogError> {
        let now_ms = clock::now_ms();
        match (&result, self.lost_at_ms.get()) {
            (Err(e), None) => {
                self.lost_at_ms.set(Some(now_ms));
                let fields = [("call", json!(call)), ("cause", json!(e.to_string()))];
                self.events.emit(Level::Notable, "store_lost", &fields);
            }
            (Ok(_), Some(lost_at_ms)) => {
                self.lost_at_ms.set(None);
                let fields = [("call", json!(call)), ("after_ms", json!(now_ms - lost_at_ms))];
                self.events.emit(Level::Notable, "store_back", &fields);
            }
            _ => {}
        }
        result
    }
}
