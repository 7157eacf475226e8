//! Requests and connections of one listener, within its limits.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use metrics::{counter, gauge};
use tokio::sync::Notify;

use crate::{
    BodyError, BudgetDecision, ByteBudget, ConnectionDecision, ConnectionKey, ConnectionLimit,
    IntakeLimits, PressureCounts, PressureMonitor, Rejected, RequestKey, body_buffer::BodyBuffer,
};

/// Time after which a connection is closed that waits although its timeouts have passed, milliseconds
/// beyond the idle timeout. Such a client does not read its response.
const STALLED_MARGIN_MS: u64 = 5_000;
/// Size up to which a response is not in the budget, bytes: it is part of the memory of a connection.
const MAX_UNCHARGED_RESPONSE_BYTES: usize = 8_192;

types::plain! {
    /// Which limit of an intake was reached.
    #[derive(Copy, Eq)]
    pub enum LimitKind {
        /// The bytes of requests.
        RequestBytes,
        /// The number of connections.
        Connections,
    }

    /// What an intake holds.
    #[derive(Copy, Eq)]
    pub struct IntakeUsage {
        /// Requests with a body that are incomplete or have no response yet, and unread large responses.
        pub requests: usize,
        /// Bytes that they hold.
        pub request_bytes: usize,
        /// Connections, including those that are being closed.
        pub connections: usize,
    }

    /// A change of the state of an intake.
    #[derive(Copy, Eq)]
    pub enum IntakeEvent {
        /// Something was evicted or refused for the first time in 5,000 ms.
        Full(LimitKind, IntakeUsage),
        /// Nothing has been evicted or refused for 5,000 ms.
        Free(PressureCounts),
    }
}

/// The intake of a listener: buffers of incomplete bodies, and signals to evict requests and to close
/// connections.
#[derive(Debug)]
pub struct Intake {
    listener: &'static str,
    now_ms: fn() -> u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: ByteBudget,
    bodies: IndexMap<RequestKey, IncompleteBody>,
    /// Connections whose response is in the budget.
    responses: IndexMap<RequestKey, ConnectionKey>,
    limit: ConnectionLimit,
    connections: IndexMap<ConnectionKey, OpenConnection>,
    next_connection: u64,
    pressure: PressureMonitor,
    full: Option<IntakeEvent>,
}

#[derive(Debug)]
struct OpenConnection {
    close: Arc<Notify>,
    /// The bytes of its last response.
    response: Option<RequestKey>,
}

/// An eviction removes the body and notifies its reader.
#[derive(Debug)]
struct IncompleteBody {
    buffer: BodyBuffer,
    evicted: Arc<Notify>,
}

/// A complete body. Its bytes count until this is dropped, so it is kept until the response is ready.
#[derive(Debug)]
pub struct ChargedBody {
    bytes: Vec<u8>,
    charge: RequestCharge,
}

/// Bytes that a request holds; they are released when this is dropped.
#[derive(Debug)]
pub(crate) struct RequestCharge {
    intake: Arc<Intake>,
    key: RequestKey,
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        self.intake.end_request(self.key);
    }
}

impl ChargedBody {
    /// Returns the bytes of the body; none after [`ChargedBody::replace`].
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Releases the bytes of the body and counts `bytes` instead, those of its decoded form.
    ///
    /// # Errors
    ///
    /// Fails when the byte budget is exhausted.
    pub fn replace(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.bytes = Vec::new();
        let is_granted = self.charge.intake.complete(self.charge.key, bytes);
        is_granted.then_some(()).ok_or(BodyError::BudgetExhausted)
    }
}

impl Intake {
    /// Creates an intake of the listener with this name. `now_ms` returns milliseconds on a monotonic
    /// clock.
    pub fn new(listener: &'static str, limits: IntakeLimits, now_ms: fn() -> u64) -> Arc<Self> {
        let state = State {
            budget: ByteBudget::new(limits.request_bytes),
            bodies: IndexMap::new(),
            responses: IndexMap::new(),
            limit: ConnectionLimit::new(limits.connections),
            connections: IndexMap::new(),
            next_connection: 0,
            pressure: PressureMonitor::default(),
            full: None,
        };
        Arc::new(Self { listener, now_ms, state: Mutex::new(state) })
    }

    /// Returns the name of the listener.
    pub fn listener(&self) -> &'static str {
        self.listener
    }

    /// Returns the time on the intake's clock, milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        (self.now_ms)()
    }

    /// Records that the request of a connection is complete: the connection is not closed for a new one
    /// before the response.
    pub fn serve(&self, connection: u64) {
        self.lock().limit.serve(ConnectionKey(connection));
    }

    /// Closes connections whose clients do not read, and returns what has changed since the last call.
    /// Must be called regularly.
    pub fn tick(&self, idle_ms: u64) -> Vec<IntakeEvent> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        for key in state.limit.close_stalled(idle_ms + STALLED_MARGIN_MS, now_ms) {
            self.count("intake_connections_evicted", "stalled");
            state.close(key);
        }
        let free = state.pressure.take_ended(now_ms).map(IntakeEvent::Free);
        let events = state.full.take().into_iter().chain(free).collect();
        self.set_gauges(&state);
        events
    }

    /// Adds a connection. Returns its number and the signal on which it must be closed, or `None` if it
    /// must be closed at once.
    pub(crate) fn open(&self) -> Option<(u64, Arc<Notify>)> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let key = ConnectionKey(state.next_connection);
        state.next_connection += 1;
        let ConnectionDecision::Accepted(longest) = state.limit.accept(key, now_ms) else {
            self.record(&mut state, Rejected::RefusedConnection);
            return None;
        };
        if let Some(longest) = longest {
            self.record(&mut state, Rejected::EvictedConnection);
            state.close(longest);
        }
        let close = Arc::new(Notify::new());
        let connection = OpenConnection { close: Arc::clone(&close), response: None };
        state.connections.insert(key, connection);
        Some((key.0, close))
    }

    /// Records that a connection has had the head of a request. The client has read the response to the
    /// previous one.
    pub(crate) fn begin_request(&self, connection: u64) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let key = ConnectionKey(connection);
        state.limit.wait(key, now_ms);
        let response = state.connections.get_mut(&key).and_then(|open| open.response.take());
        state.end_response(response);
    }

    /// Records that a connection gets a response of this size. Returns whether the budget permits it.
    pub(crate) fn begin_response(&self, connection: u64, bytes: usize) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let key = ConnectionKey(connection);
        state.limit.wait(key, now_ms);
        if bytes <= MAX_UNCHARGED_RESPONSE_BYTES {
            return true;
        }
        let response = state.budget.begin(now_ms);
        let decision = state.budget.respond(response, bytes, now_ms);
        if !self.carry_out(&mut state, decision) {
            return false;
        }
        state.responses.insert(response, key);
        match state.connections.get_mut(&key) {
            Some(open) => open.response = Some(response),
            None => state.end_response(Some(response)),
        }
        true
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, connection: u64) {
        let mut state = self.lock();
        let key = ConnectionKey(connection);
        state.limit.remove(key);
        let open = state.connections.swap_remove(&key);
        state.end_response(open.and_then(|open| open.response));
    }

    /// Adds an incomplete body; returns its charge and the signal of its eviction.
    pub(crate) fn begin_body(self: &Arc<Self>) -> (RequestCharge, Arc<Notify>) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let key = state.budget.begin(now_ms);
        let evicted = Arc::new(Notify::new());
        let body = IncompleteBody { buffer: BodyBuffer::default(), evicted: Arc::clone(&evicted) };
        state.bodies.insert(key, body);
        (RequestCharge { intake: Arc::clone(self), key }, evicted)
    }

    /// Returns the number of bytes that have been received of a body.
    pub(crate) fn body_len(&self, charge: &RequestCharge) -> usize {
        self.lock().bodies.get(&charge.key).map_or(0, |body| body.buffer.len())
    }

    /// Appends to a body that has at most `max_bytes`; returns whether the budget permits it.
    pub(crate) fn append(&self, charge: &RequestCharge, data: &[u8], max_bytes: usize) -> bool {
        let mut state = self.lock();
        let Some(body) = state.bodies.get(&charge.key) else { return false };
        let missing = body.buffer.missing(data.len(), max_bytes);
        if missing > 0 && !self.request(&mut state, charge.key, missing) {
            return false;
        }
        let Some(body) = state.bodies.get_mut(&charge.key) else { return false };
        body.buffer.append(data, max_bytes);
        true
    }

    /// Returns a body that is complete; `None` if it has been evicted.
    pub(crate) fn end_body(&self, charge: RequestCharge) -> Option<ChargedBody> {
        let body = self.lock().bodies.swap_remove(&charge.key)?;
        let bytes = body.buffer.into_bytes();
        self.complete(charge.key, bytes.len()).then_some(ChargedBody { bytes, charge })
    }

    fn complete(&self, key: RequestKey, bytes: usize) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let decision = state.budget.complete(key, bytes, now_ms);
        self.carry_out(&mut state, decision)
    }

    fn end_request(&self, key: RequestKey) {
        let mut state = self.lock();
        state.budget.end(key);
        state.bodies.swap_remove(&key);
    }

    fn request(&self, state: &mut State, key: RequestKey, bytes: usize) -> bool {
        let decision = state.budget.request(key, bytes, self.now_ms());
        self.carry_out(state, decision)
    }

    /// Evicts what a decision names; returns whether the bytes are granted.
    fn carry_out(&self, state: &mut State, decision: BudgetDecision) -> bool {
        let BudgetDecision::Granted(evicted) = decision else {
            self.record(state, Rejected::RefusedRequest);
            return false;
        };
        for key in evicted {
            self.record(state, Rejected::EvictedRequest);
            if let Some(body) = state.bodies.swap_remove(&key) {
                body.evicted.notify_one();
            }
            if let Some(connection) = state.responses.swap_remove(&key) {
                state.close(connection);
            }
        }
        true
    }

    fn record(&self, state: &mut State, rejected: Rejected) {
        let (name, cause, limit) = match rejected {
            Rejected::EvictedRequest => {
                ("intake_requests_evicted", "oldest", LimitKind::RequestBytes)
            }
            Rejected::RefusedRequest => {
                ("intake_requests_evicted", "newest", LimitKind::RequestBytes)
            }
            Rejected::EvictedConnection => {
                ("intake_connections_evicted", "oldest", LimitKind::Connections)
            }
            Rejected::RefusedConnection => {
                ("intake_connections_evicted", "newest", LimitKind::Connections)
            }
        };
        self.count(name, cause);
        if state.pressure.record(rejected, self.now_ms()) {
            state.full = Some(IntakeEvent::Full(limit, state.usage()));
        }
    }

    fn count(&self, name: &'static str, cause: &'static str) {
        counter!(name, "listener" => self.listener, "cause" => cause).increment(1);
    }

    #[allow(clippy::cast_precision_loss)]
    fn set_gauges(&self, state: &State) {
        let usage = state.usage();
        gauge!("intake_request_bytes", "listener" => self.listener).set(usage.request_bytes as f64);
        gauge!("intake_connections", "listener" => self.listener).set(usage.connections as f64);
    }

    /// A panic while the lock is held leaves counts that are too high at worst.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn usage(&self) -> IntakeUsage {
        IntakeUsage {
            requests: self.budget.len(),
            request_bytes: self.budget.held_bytes(),
            connections: self.limit.len(),
        }
    }

    fn close(&mut self, key: ConnectionKey) {
        if let Some(open) = self.connections.swap_remove(&key) {
            open.close.notify_one();
            self.end_response(open.response);
        }
    }

    fn end_response(&mut self, response: Option<RequestKey>) {
        if let Some(key) = response {
            self.budget.end(key);
            self.responses.swap_remove(&key);
        }
    }
}
