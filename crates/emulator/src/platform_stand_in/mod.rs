//! Stand-ins that speak the users' platform's published protocol: its store, and executors that
//! announce themselves to the agent beside them.

mod executor;
mod ledger;
mod log_server;

pub use crate::platform_stand_in::{
    executor::{StandInExecutor, StandInExecutorFaults, StandInExecutorSettings},
    ledger::Ledger,
    log_server::LogServer,
};
