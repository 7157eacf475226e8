//! Interfaces to the services of the platform: the append-only log, workers that run tasks
//! under leases, and executors that answer requests.
//!
//! Each is a trait. The client of the log is in the `platform` crate; the HTTP clients of the
//! other two are here.

mod call_budget;
mod checkpoint;
mod executor;
mod executor_error;
mod http_executor;
mod http_worker;
mod lease_id;
mod lease_start;
mod lease_status;
mod log;
mod log_error;
mod log_page;
mod offset;
mod run_request;
mod stream_name;
mod wire;
mod worker;
mod worker_error;
mod worker_usage;

pub use crate::{
    call_budget::CallBudget,
    checkpoint::Checkpoint,
    executor::Executor,
    executor_error::ExecutorError,
    http_executor::HttpExecutor,
    http_worker::HttpWorker,
    lease_id::LeaseId,
    lease_start::LeaseStart,
    lease_status::LeaseStatus,
    log::Log,
    log_error::LogError,
    log_page::{LogPage, LogRecord},
    offset::Offset,
    run_request::RunRequest,
    stream_name::StreamName,
    wire::{ErrorBody, RenewBody, ThrottleBody},
    worker::Worker,
    worker_error::WorkerError,
    worker_usage::{LeaseUsage, WorkerUsage},
};
