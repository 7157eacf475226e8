//! Stand-ins that speak the users' platform's published protocol: its store, and executors that
//! announce themselves to the agent beside them.

mod executor;
mod log_server;
mod run_ledger;

pub use crate::platform_fake::{
    executor::{FakeExecutor, FakeExecutorFaults, FakeExecutorSettings},
    log_server::LogServer,
    run_ledger::RunLedger,
};
