//! Byte budget for all incomplete bodies of a process.

use std::collections::BTreeMap;

use crate::intake::MIN_EVICTION_AGE_MS;

types::identifier! {
    /// Identifies an incomplete body; later bodies have greater keys.
    pub struct BodyKey(u64);
}

types::plain! {
    /// Reply to a body that requests bytes.
    #[derive(Eq)]
    pub enum BudgetDecision {
        /// The body may grow. The listed bodies are evicted and no longer known.
        Granted(Vec<BodyKey>),
        /// The body must be refused; it is no longer known.
        Refused,
    }

    #[derive(Copy, Eq)]
    struct IncompleteBody {
        started_ms: u64,
        bytes: usize,
    }
}

/// Bytes of incomplete bodies. When they are exhausted, the oldest body is evicted, unless all are
/// younger than 1,000 ms: then the body that requests bytes is refused.
#[derive(Debug)]
pub struct BodyBudget {
    limit_bytes: usize,
    held_bytes: usize,
    next_key: u64,
    /// In the order of their start times.
    bodies: BTreeMap<BodyKey, IncompleteBody>,
}

impl BodyBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, held_bytes: 0, next_key: 0, bodies: BTreeMap::new() }
    }

    /// Adds a body that starts now and holds nothing yet.
    pub fn begin(&mut self, now_ms: u64) -> BodyKey {
        let key = BodyKey(self.next_key);
        self.next_key += 1;
        self.bodies.insert(key, IncompleteBody { started_ms: now_ms, bytes: 0 });
        key
    }

    /// Requests further bytes for a body, before it grows. While no other body holds bytes, it may exceed
    /// the budget, so a single body of any permitted size is served. An unknown body is refused.
    pub fn request(&mut self, key: BodyKey, bytes: usize, now_ms: u64) -> BudgetDecision {
        let Some(evicted) = self.evictions(key, bytes, now_ms) else {
            self.end(key);
            return BudgetDecision::Refused;
        };
        for other in &evicted {
            self.end(*other);
        }
        if let Some(body) = self.bodies.get_mut(&key) {
            body.bytes += bytes;
            self.held_bytes += bytes;
        }
        BudgetDecision::Granted(evicted)
    }

    /// Removes a body that is complete or whose reader has gone, and releases its bytes.
    pub fn end(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.remove(&key) {
            self.held_bytes -= body.bytes;
        }
    }

    /// Returns the bytes that all incomplete bodies hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of incomplete bodies.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Returns whether there is no incomplete body.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// Returns the bodies to evict so that `key` may hold further bytes; `None` if eviction does not
    /// suffice or the turn comes to `key` itself. Nothing is evicted in vain.
    fn evictions(&self, key: BodyKey, bytes: usize, now_ms: u64) -> Option<Vec<BodyKey>> {
        let own_bytes = self.bodies.get(&key)?.bytes;
        let mut evicted = Vec::new();
        if self.held_bytes == own_bytes {
            return Some(evicted);
        }
        let mut excess = (self.held_bytes + bytes).saturating_sub(self.limit_bytes);
        let is_old =
            |body: &IncompleteBody| now_ms.saturating_sub(body.started_ms) > MIN_EVICTION_AGE_MS;
        let mut candidates = self.bodies.iter().take_while(|(_, body)| is_old(body));
        while excess > 0 {
            let (candidate, body) =
                candidates.next().filter(|(candidate, _)| **candidate != key)?;
            // A body that holds nothing frees nothing.
            if body.bytes > 0 {
                evicted.push(*candidate);
                excess = excess.saturating_sub(body.bytes);
            }
        }
        Some(evicted)
    }
}
