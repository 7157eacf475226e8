//! Stand-ins that speak the users' platform's published protocol: its store, and executors that
//! announce themselves to the agent beside them.

mod executor;
mod ledger;
mod log_server;

pub use crate::platform_fake::{
    executor::{FakeExecutor, FakeExecutorFaults, FakeExecutorSettings},
    ledger::Ledger,
    log_server::LogServer,
};
