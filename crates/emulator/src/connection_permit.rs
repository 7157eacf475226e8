use std::sync::{Arc, OnceLock};

use axum::{extract::connect_info::Connected, serve::IncomingStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::listener::ControlledListener;

/// A connection's permit out of the limited number that a server grants.
///
/// It is acquired with the first request to run a task and released when the connection closes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPermit(Arc<OnceLock<OwnedSemaphorePermit>>);

impl ConnectionPermit {
    /// Acquires the permit unless the connection has it already; returns false when other
    /// connections hold every permit.
    pub(crate) fn try_acquire(&self, connection_limit: &Arc<Semaphore>) -> bool {
        if self.0.get().is_some() {
            return true;
        }
        match Arc::clone(connection_limit).try_acquire_owned() {
            Ok(permit) => {
                let _ = self.0.set(permit);
                true
            }
            Err(_) => false,
        }
    }
}

impl Connected<IncomingStream<'_, ControlledListener>> for ConnectionPermit {
    fn connect_info(_: IncomingStream<'_, ControlledListener>) -> Self {
        Self::default()
    }
}
