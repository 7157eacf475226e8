use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{Json, Router, extract::State, http::StatusCode, routing::post};
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::connections::Connections;

/// Delay between the response to `POST /faults` and the reset of connections, so that the
/// response is sent first.
const RESPONSE_FLUSH_DELAY: Duration = Duration::from_millis(10);

/// The faults that can be injected into one kind of emulated server. The default value is no
/// fault.
pub trait FaultSet: Clone + Default + DeserializeOwned + Send + Sync + 'static {
    /// Returns whether the server is dead: its port is closed and its connections are reset.
    fn is_dead(&self) -> bool;

    /// Returns whether the connections that are open now become silent: they carry no data and
    /// are not reset.
    fn silences_connections(&self) -> bool;

    /// Returns the factor by which every run time is multiplied.
    fn slow_factor(&self) -> f64 {
        1.0
    }

    /// Returns the time in milliseconds after which every fault is cleared, if any.
    fn clear_after_ms(&self) -> Option<u64>;
}

/// A handle that reads and changes the faults of a running emulated server.
#[derive(Clone, Debug)]
pub struct FaultControl<F> {
    faults: Arc<watch::Sender<F>>,
    connections: Arc<Connections>,
    version: Arc<AtomicU64>,
}

impl<F: FaultSet> FaultControl<F> {
    pub(crate) fn new(connections: Arc<Connections>) -> Self {
        Self {
            faults: Arc::new(watch::Sender::new(F::default())),
            connections,
            version: Arc::default(),
        }
    }

    /// Returns the current faults.
    pub fn get(&self) -> F {
        self.faults.borrow().clone()
    }

    /// Replaces the current faults.
    pub fn set(&self, faults: F) {
        self.replace(faults.clone());
        self.apply_to_connections(&faults);
    }

    /// Modifies the current faults.
    pub fn update(&self, change: impl FnOnce(&mut F)) {
        let mut faults = self.get();
        change(&mut faults);
        self.set(faults);
    }

    /// Clears every fault.
    pub fn clear(&self) {
        self.set(F::default());
    }

    /// Returns a receiver that holds the current faults and is notified of changes.
    pub(crate) fn watch(&self) -> watch::Receiver<F> {
        self.faults.subscribe()
    }

    /// Applies `change` atomically; it returns whether it modified the faults. Connections are
    /// left as they are.
    pub(crate) fn update_if(&self, change: impl FnOnce(&mut F) -> bool) -> bool {
        self.faults.send_if_modified(change)
    }

    /// Returns a router for `POST /faults`, which replaces the current faults.
    pub(crate) fn router(&self) -> Router {
        Router::new().route("/faults", post(post_faults::<F>)).with_state(self.clone())
    }

    fn replace(&self, faults: F) {
        let clear_after_ms = faults.clear_after_ms();
        self.faults.send_replace(faults);
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        if let Some(ms) = clear_after_ms {
            tokio::spawn(self.clone().clear_after(Duration::from_millis(ms), version));
        }
    }

    fn apply_to_connections(&self, faults: &F) {
        self.connections.set_dead(faults.is_dead());
        if faults.silences_connections() {
            self.connections.silence();
        }
    }

    /// Clears the faults after a delay, unless they were replaced in the meantime.
    async fn clear_after(self, delay: Duration, version: u64) {
        tokio::time::sleep(delay).await;
        if self.version.load(Ordering::Relaxed) == version {
            self.clear();
        }
    }
}

async fn post_faults<F: FaultSet>(
    State(control): State<FaultControl<F>>,
    Json(faults): Json<F>,
) -> StatusCode {
    control.replace(faults.clone());
    tokio::spawn(async move {
        tokio::time::sleep(RESPONSE_FLUSH_DELAY).await;
        control.apply_to_connections(&faults);
    });
    StatusCode::NO_CONTENT
}
