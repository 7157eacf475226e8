//! Incomplete request bodies and connections of callers, within the limits of the host.

use std::{cell::RefCell, rc::Rc};

use direct::{
    BodyBudget, BodyKey, BudgetDecision, ConnectionDecision, ConnectionKey, ConnectionLimit,
    PressureMonitor, Rejected,
};
use indexmap::IndexMap;
use metrics::{counter, gauge};
use serde_json::json;
use tokio::sync::Notify;

use crate::{
    DirectEntrySettings, clock,
    events::{Events, Level},
    http_server::ConnectionGate,
};

/// Time after which a connection is closed that waits although its timeouts have passed, milliseconds
/// beyond the idle timeout. Such a client does not read its response.
const STALLED_MARGIN_MS: u64 = 5_000;

/// The intake of an entry: buffers of incomplete bodies, and signals to evict bodies and to close
/// connections.
#[derive(Debug)]
pub(crate) struct Intake {
    events: Rc<Events>,
    budget: RefCell<BodyBudget>,
    bodies: RefCell<IndexMap<BodyKey, BodyBuffer>>,
    limit: RefCell<ConnectionLimit>,
    /// Signals on which connections are closed.
    connections: RefCell<IndexMap<ConnectionKey, Rc<Notify>>>,
    pressure: RefCell<PressureMonitor>,
}

/// Buffer of an incomplete body; an eviction removes it and notifies the reader.
#[derive(Debug)]
struct BodyBuffer {
    bytes: Vec<u8>,
    evicted: Rc<Notify>,
}

impl Intake {
    pub(crate) fn new(settings: &DirectEntrySettings, events: Rc<Events>) -> Rc<Self> {
        Rc::new(Self {
            events,
            budget: RefCell::new(BodyBudget::new(settings.body_budget_bytes())),
            bodies: RefCell::default(),
            limit: RefCell::new(ConnectionLimit::new(settings.max_connections())),
            connections: RefCell::default(),
            pressure: RefCell::default(),
        })
    }

    /// Adds an incomplete body; returns its key and the signal of its eviction.
    pub(crate) fn begin_body(&self) -> (BodyKey, Rc<Notify>) {
        let key = self.budget.borrow_mut().begin(clock::now_ms());
        let evicted = Rc::new(Notify::new());
        let buffer = BodyBuffer { bytes: Vec::new(), evicted: Rc::clone(&evicted) };
        self.bodies.borrow_mut().insert(key, buffer);
        (key, evicted)
    }

    /// Returns the number of bytes that have been received of a body.
    pub(crate) fn body_len(&self, key: BodyKey) -> usize {
        self.bodies.borrow().get(&key).map_or(0, |buffer| buffer.bytes.len())
    }

    /// Appends to a body that has at most `max_bytes`; returns whether the budget permits it.
    pub(crate) fn append(&self, key: BodyKey, data: &[u8], max_bytes: usize) -> bool {
        let growth = {
            let bodies = self.bodies.borrow();
            let Some(BodyBuffer { bytes, .. }) = bodies.get(&key) else { return false };
            let needed = bytes.len() + data.len();
            let capacity = bytes.capacity();
            let doubled = (2 * capacity).min(max_bytes);
            if needed > capacity { needed.max(doubled) - capacity } else { 0 }
        };
        if growth > 0 && !self.request_bytes(key, growth) {
            return false;
        }
        let mut bodies = self.bodies.borrow_mut();
        let Some(BodyBuffer { bytes, .. }) = bodies.get_mut(&key) else { return false };
        if growth > 0 {
            let additional = bytes.capacity() + growth - bytes.len();
            bytes.reserve_exact(additional);
        }
        bytes.extend_from_slice(data);
        true
    }

    /// Removes a body and returns what has been received of it.
    pub(crate) fn end_body(&self, key: BodyKey) -> Vec<u8> {
        self.budget.borrow_mut().end(key);
        self.set_body_bytes();
        self.bodies.borrow_mut().swap_remove(&key).map_or_else(Vec::new, |buffer| buffer.bytes)
    }

    /// Records that the request of a connection is complete.
    pub(crate) fn serve(&self, connection: u64) {
        self.limit.borrow_mut().serve(ConnectionKey(connection));
    }

    /// Closes connections whose clients do not read, and reports the end of a full intake. Must be
    /// called regularly.
    pub(crate) fn tick(&self, idle_ms: u64) {
        let now_ms = clock::now_ms();
        let max_wait_ms = idle_ms + STALLED_MARGIN_MS;
        let stalled = self.limit.borrow_mut().close_stalled(max_wait_ms, now_ms);
        for key in stalled {
            counter!("entry_connections_evicted", "cause" => "stalled").increment(1);
            self.close(key);
        }
        let Some(counts) = self.pressure.borrow_mut().take_ended(now_ms) else { return };
        let fields = [
            ("full_ms", json!(counts.last_ms - counts.since_ms)),
            ("evicted_bodies", json!(counts.evicted_bodies)),
            ("refused_bodies", json!(counts.refused_bodies)),
            ("evicted_connections", json!(counts.evicted_connections)),
            ("refused_connections", json!(counts.refused_connections)),
        ];
        self.events.emit(Level::Notable, "intake_free", &fields);
    }

    fn request_bytes(&self, key: BodyKey, bytes: usize) -> bool {
        let decision = self.budget.borrow_mut().request(key, bytes, clock::now_ms());
        self.set_body_bytes();
        match decision {
            BudgetDecision::Granted(evicted) => {
                for key in evicted {
                    self.record(Rejected::EvictedBody);
                    if let Some(buffer) = self.bodies.borrow_mut().swap_remove(&key) {
                        buffer.evicted.notify_one();
                    }
                }
                true
            }
            BudgetDecision::Refused => {
                self.record(Rejected::RefusedBody);
                false
            }
        }
    }

    fn close(&self, key: ConnectionKey) {
        if let Some(close) = self.connections.borrow_mut().swap_remove(&key) {
            close.notify_one();
        }
        self.set_connections();
    }

    fn record(&self, rejected: Rejected) {
        match rejected {
            Rejected::EvictedBody => {
                counter!("entry_bodies_evicted", "cause" => "oldest").increment(1);
            }
            Rejected::RefusedBody => {
                counter!("entry_bodies_evicted", "cause" => "newest").increment(1);
            }
            Rejected::EvictedConnection => {
                counter!("entry_connections_evicted", "cause" => "oldest").increment(1);
            }
            Rejected::RefusedConnection => {
                counter!("entry_connections_evicted", "cause" => "newest").increment(1);
            }
        }
        if !self.pressure.borrow_mut().record(rejected, clock::now_ms()) {
            return;
        }
        let limit = match rejected {
            Rejected::EvictedBody | Rejected::RefusedBody => "body_bytes",
            Rejected::EvictedConnection | Rejected::RefusedConnection => "connections",
        };
        let fields = [
            ("limit", json!(limit)),
            ("bodies", json!(self.budget.borrow().len())),
            ("body_bytes", json!(self.budget.borrow().held_bytes())),
            ("connections", json!(self.limit.borrow().len())),
        ];
        self.events.emit(Level::Notable, "intake_full", &fields);
    }

    fn set_body_bytes(&self) {
        #[allow(clippy::cast_precision_loss)]
        gauge!("entry_body_bytes").set(self.budget.borrow().held_bytes() as f64);
    }

    fn set_connections(&self) {
        #[allow(clippy::cast_precision_loss)]
        gauge!("entry_caller_connections").set(self.limit.borrow().len() as f64);
    }
}

impl ConnectionGate for Intake {
    fn open(&self, connection: u64) -> Option<Rc<Notify>> {
        let key = ConnectionKey(connection);
        let decision = self.limit.borrow_mut().accept(key, clock::now_ms());
        let ConnectionDecision::Accepted(longest) = decision else {
            self.record(Rejected::RefusedConnection);
            return None;
        };
        if let Some(longest) = longest {
            self.record(Rejected::EvictedConnection);
            self.close(longest);
        }
        let close = Rc::new(Notify::new());
        self.connections.borrow_mut().insert(key, Rc::clone(&close));
        self.set_connections();
        Some(close)
    }

    fn wait(&self, connection: u64) {
        self.limit.borrow_mut().wait(ConnectionKey(connection), clock::now_ms());
    }

    fn remove(&self, connection: u64) {
        let key = ConnectionKey(connection);
        self.limit.borrow_mut().remove(key);
        self.connections.borrow_mut().swap_remove(&key);
        self.set_connections();
    }
}
