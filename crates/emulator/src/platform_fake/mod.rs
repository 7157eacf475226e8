//! Fakes that speak the published protocol of the platform: its store, and executors that send
//! heartbeats to an agent.

mod executor;
mod log_server;
mod run_ledger;
mod run_reports;
mod steady_time;

pub use crate::platform_fake::{
    executor::{
        FakeExecutor, FakeExecutorClock, FakeExecutorFaults, FakeExecutorSettings, StoppingRuns,
    },
    log_server::LogServer,
    run_ledger::{Listing, RecordedRun, RunEnd, RunLedger, StoppedRun},
};
