//! Intake of HTTP requests within the memory and the file descriptors of a host, whatever clients
//! send: limits on connections and on the bytes of requests, and a server that keeps them.
//!
//! [`ByteBudget`], [`ConnectionLimit`] and [`PressureMonitor`] decide; they do no I/O and read no
//! clock. `docs/design/intake.md` gives the sum of what they limit.

mod body_buffer;
mod byte_budget;
mod connection_limit;
mod http_server;
mod intake;
mod limits;
mod listener;
mod pressure;
mod request_body;
mod router_server;

pub use crate::{
    byte_budget::{BudgetDecision, ByteBudget, RequestKey},
    connection_limit::{ConnectionDecision, ConnectionKey, ConnectionLimit},
    http_server::{ConnectionActivity, ConnectionLimits, HttpServer},
    intake::{ChargedBody, Intake, IntakeEvent, IntakeUsage, LimitKind},
    limits::{CONNECTION_BYTES, IntakeLimits, UNREAD_BYTES},
    listener::{accept, listen, local_addr},
    pressure::{PressureCounts, PressureMonitor, Rejected},
    request_body::{BodyError, BodyLimits, RequestBody, read_body},
    router_server::RouterServer,
};

/// Age from which an incomplete request may be evicted, milliseconds. Ordinary bodies are complete
/// within milliseconds.
pub(crate) const MIN_EVICTION_AGE_MS: u64 = 1_000;
