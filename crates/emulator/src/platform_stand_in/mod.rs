//! Stand-ins that speak the users' platform's published protocol: its store, and executors that
//! announce themselves to the agent beside them.

mod call_rate;
mod executor;
mod ledger;
mod store;

pub use crate::platform_stand_in::{
    executor::{StandInExecutor, StandInExecutorFaults, StandInExecutorSettings},
    ledger::Ledger,
    store::{StandInStore, StandInStoreFaults, StandInStoreRates},
};
