//! Emulated back ends for tests and load runs: the platform's append-only log, its workers and
//! its executors, and a relay that disturbs the connections between processes.
//!
//! Each is an HTTP server that keeps its state in memory and into which faults can be injected
//! while it runs. [`LogServer`] and [`FakeExecutor`] speak the published protocol of the platform;
//! [`ExecutorServer`] and [`WorkerServer`] speak those of [`ports::HttpExecutor`] and
//! [`ports::HttpWorker`], and count the attempts that they were asked to start.

mod answers;
mod call_window;
mod connection;
mod connection_permit;
mod connections;
mod executor_faults;
mod executor_server;
mod executor_settings;
mod executor_state;
mod faults;
mod lease;
mod listener;
mod log_faults;
mod log_settings;
mod log_state;
mod log_store;
mod platform_fake;
mod processor;
mod relay;
mod reply;
mod run_headers;
mod run_options;
mod server;
mod start_counts;
mod task;
mod task_control;
mod task_error;
mod usage_history;
mod worker_faults;
mod worker_routes;
mod worker_server;
mod worker_settings;
mod worker_state;

pub use crate::{
    executor_faults::{ExecutorFaults, FailedTask},
    executor_server::ExecutorServer,
    executor_settings::ExecutorSettings,
    faults::{FaultControl, FaultSet},
    log_faults::LogFaults,
    log_settings::LogSettings,
    platform_fake::{
        FakeExecutor, FakeExecutorClock, FakeExecutorFaults, FakeExecutorSettings, Listing,
        LogServer, RecordedRun, RunEnd, RunLedger, StoppedRun, StoppingRuns,
    },
    processor::{Capacity, Processor},
    relay::{PathFault, Relay, RelayFaults},
    start_counts::{StartCount, StartsBody},
    task_control::TaskControl,
    worker_faults::WorkerFaults,
    worker_server::WorkerServer,
    worker_settings::WorkerSettings,
};
