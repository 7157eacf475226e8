//! Limit on the connections of callers.

use indexmap::IndexMap;

use crate::MIN_EVICTION_AGE_MS;

types::identifier! {
    /// Number of a connection in the lifetime of a server.
    pub struct ConnectionKey(pub u64);
}

types::plain! {
    /// Reply to a new connection.
    #[derive(Eq)]
    pub enum ConnectionDecision {
        /// It is accepted. If another one is given, that must be closed.
        Accepted(Option<ConnectionKey>),
        /// The new connection is closed.
        Refused,
    }

    #[derive(Copy, Eq)]
    enum ConnectionUse {
        /// No request, or an incomplete one, since this time, milliseconds.
        Waiting { since_ms: u64 },
        /// A complete request that has no response yet.
        Serving,
        /// It is being closed and still has its descriptor and buffers.
        Closing,
    }
}

/// Connections of callers. At the limit, the one that has waited longest for a complete request is
/// closed for a new one, unless all have waited for less than 1,000 ms or too many are being closed:
/// connections exceed the limit by an eighth at most, for the time that closing takes.
#[derive(Debug)]
pub struct ConnectionLimit {
    limit: usize,
    connections: IndexMap<ConnectionKey, ConnectionUse>,
    closing: usize,
}

impl ConnectionLimit {
    /// Creates a limit.
    pub fn new(limit: usize) -> Self {
        Self { limit, connections: IndexMap::new(), closing: 0 }
    }

    /// Decides on a new connection, which waits for its first request.
    pub fn accept(&mut self, key: ConnectionKey, now_ms: u64) -> ConnectionDecision {
        let mut closed = None;
        if self.connections.len() - self.closing >= self.limit {
            if self.closing >= (self.limit / 8).max(1) {
                return ConnectionDecision::Refused;
            }
            let longest = self.waiting(now_ms).max_by_key(|(_, waited_ms)| *waited_ms);
            let Some((longest, _)) =
                longest.filter(|(_, waited_ms)| *waited_ms >= MIN_EVICTION_AGE_MS)
            else {
                return ConnectionDecision::Refused;
            };
            self.close(longest);
            closed = Some(longest);
        }
        self.connections.insert(key, ConnectionUse::Waiting { since_ms: now_ms });
        ConnectionDecision::Accepted(closed)
    }

    /// Records that a connection waits: a response has been made, or the head of a request whose
    /// body is incomplete has arrived.
    pub fn wait(&mut self, key: ConnectionKey, now_ms: u64) {
        self.set(key, ConnectionUse::Waiting { since_ms: now_ms });
    }

    /// Records that a request is complete; the connection is not closed before the response.
    pub fn serve(&mut self, key: ConnectionKey) {
        self.set(key, ConnectionUse::Serving);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        if self.connections.swap_remove(&key) == Some(ConnectionUse::Closing) {
            self.closing -= 1;
        }
    }

    /// Returns the connections that have waited for at least `max_wait_ms`; they must be closed.
    pub fn close_stalled(&mut self, max_wait_ms: u64, now_ms: u64) -> Vec<ConnectionKey> {
        let is_stalled = |waited_ms: u64| waited_ms >= max_wait_ms;
        let stalled: Vec<_> = self
            .waiting(now_ms)
            .filter_map(|(key, waited_ms)| is_stalled(waited_ms).then_some(key))
            .collect();
        for key in &stalled {
            self.close(*key);
        }
        stalled
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn set(&mut self, key: ConnectionKey, next: ConnectionUse) {
        let current = self.connections.get_mut(&key);
        if let Some(current) = current.filter(|current| **current != ConnectionUse::Closing) {
            *current = next;
        }
    }

    fn close(&mut self, key: ConnectionKey) {
        self.set(key, ConnectionUse::Closing);
        self.closing += 1;
    }

    /// Returns the connections that wait, and for how long, milliseconds.
    fn waiting(&self, now_ms: u64) -> impl Iterator<Item = (ConnectionKey, u64)> {
        self.connections.iter().filter_map(move |(key, current)| match current {
            ConnectionUse::Waiting { since_ms } => Some((*key, now_ms.saturating_sub(*since_ms))),
            ConnectionUse::Serving | ConnectionUse::Closing => None,
        })
    }
}
