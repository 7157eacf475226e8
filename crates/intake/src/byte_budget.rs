//! Byte budget for all requests of an intake.

use std::collections::BTreeMap;

use crate::MIN_EVICTION_AGE_MS;

types::identifier! {
    /// Identifies a request or a response; later ones have greater keys.
    pub struct RequestKey(u64);
}

types::plain! {
    /// Reply to a request that needs bytes.
    #[derive(Eq)]
    pub enum BudgetDecision {
        /// The request may hold them. The listed requests are evicted and no longer known.
        Granted(Vec<RequestKey>),
        /// The request must be refused; it is no longer known.
        Refused,
    }

    #[derive(Copy, Eq)]
    struct Holder {
        started_ms: u64,
        bytes: usize,
        /// Whether the request is complete: it is not evicted, because it has been accepted.
        is_complete: bool,
    }
}

/// Bytes of requests, from the first byte of the body until the response has been read. When they are
/// exhausted, the oldest incomplete request is evicted, unless all are younger than 1,000 ms: then the
/// request that needs bytes is refused.
#[derive(Debug)]
pub struct ByteBudget {
    limit_bytes: usize,
    held_bytes: usize,
    next_key: u64,
    /// In the order of their start times.
    holders: BTreeMap<RequestKey, Holder>,
}

impl ByteBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, held_bytes: 0, next_key: 0, holders: BTreeMap::new() }
    }

    /// Adds an incomplete request, or a response, that starts now and holds nothing yet.
    pub fn begin(&mut self, now_ms: u64) -> RequestKey {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        let holder = Holder { started_ms: now_ms, bytes: 0, is_complete: false };
        self.holders.insert(key, holder);
        key
    }

    /// Requests further bytes, before they are allocated. While no other request holds bytes, one may
    /// exceed the budget, so a single request of any permitted size is served. An unknown one is
    /// refused.
    pub fn request(&mut self, key: RequestKey, bytes: usize, now_ms: u64) -> BudgetDecision {
        self.request_above_age(key, bytes, MIN_EVICTION_AGE_MS + 1, now_ms)
    }

    /// Requests bytes for a response that is ready. It was worth its work, so others are evicted for it
    /// whatever their age.
    pub fn respond(&mut self, key: RequestKey, bytes: usize, now_ms: u64) -> BudgetDecision {
        self.request_above_age(key, bytes, 0, now_ms)
    }

    fn request_above_age(
        &mut self,
        key: RequestKey,
        bytes: usize,
        min_age_ms: u64,
        now_ms: u64,
    ) -> BudgetDecision {
        let Some(evicted) = self.evictions(key, bytes, min_age_ms, now_ms) else {
            self.end(key);
            return BudgetDecision::Refused;
        };
        for other in &evicted {
            self.end(*other);
        }
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.bytes += bytes;
            self.held_bytes += bytes;
        }
        BudgetDecision::Granted(evicted)
    }

    /// Records that a request is complete and now holds `bytes` in all, for its decoded form. If it
    /// needs more bytes than before, it may be refused; otherwise nothing is evicted.
    pub fn complete(&mut self, key: RequestKey, bytes: usize, now_ms: u64) -> BudgetDecision {
        let Some(holder) = self.holders.get_mut(&key) else { return BudgetDecision::Refused };
        holder.is_complete = true;
        let growth = bytes.saturating_sub(holder.bytes);
        let released = holder.bytes.saturating_sub(bytes);
        holder.bytes -= released;
        self.held_bytes -= released;
        if growth == 0 {
            return BudgetDecision::Granted(Vec::new());
        }
        self.request(key, growth, now_ms)
    }

    /// Removes a request that has ended, and releases its bytes.
    pub fn end(&mut self, key: RequestKey) {
        if let Some(holder) = self.holders.remove(&key) {
            self.held_bytes -= holder.bytes;
        }
    }

    /// Returns the bytes that all requests hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of requests and responses.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the requests of at least this age to evict so that `key` may hold further bytes; `None` if
    /// eviction does not suffice or the turn comes to `key` itself. Nothing is evicted in vain.
    fn evictions(
        &self,
        key: RequestKey,
        bytes: usize,
        min_age_ms: u64,
        now_ms: u64,
    ) -> Option<Vec<RequestKey>> {
        let own_bytes = self.holders.get(&key)?.bytes;
        let mut evicted = Vec::new();
        if self.held_bytes == own_bytes {
            return Some(evicted);
        }
        let mut excess = (self.held_bytes + bytes).saturating_sub(self.limit_bytes);
        let is_old = |holder: &Holder| now_ms.saturating_sub(holder.started_ms) >= min_age_ms;
        let mut candidates = self
            .holders
            .iter()
            .take_while(|(_, holder)| is_old(holder))
            .filter(|(_, holder)| !holder.is_complete);
        while excess > 0 {
            let (candidate, holder) =
                candidates.next().filter(|(candidate, _)| **candidate != key)?;
            // A request that holds nothing frees nothing.
            if holder.bytes > 0 {
                evicted.push(*candidate);
                excess = excess.saturating_sub(holder.bytes);
            }
        }
        Some(evicted)
    }
}
