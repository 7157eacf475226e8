//! Limits on what callers occupy in an entry before their requests are complete: the bytes of
//! incomplete bodies and the number of connections.

mod body_budget;
mod connection_limit;
mod pressure;

pub use crate::intake::{
    body_budget::{BodyBudget, BodyKey, BudgetDecision},
    connection_limit::{ConnectionDecision, ConnectionKey, ConnectionLimit},
    pressure::{PressureCounts, PressureMonitor, Rejected},
};

/// Age from which an incomplete body or request may be evicted, milliseconds. Ordinary bodies are
/// complete within milliseconds.
pub(crate) const MIN_EVICTION_AGE_MS: u64 = 1_000;
