//! The whole system in one test process: entries, agents and fakes of the log, the executors and
//! the workers. The tests count the task starts that the fakes record. They wait for conditions;
//! time limits only end a test that hangs.

mod bad_input;
mod commands;
mod configuration;
mod connections;
mod drain;
mod entry_loss;
mod examples;
mod jobs;
mod leases;
mod log_outage;
mod openapi;
mod pauses;
mod relay;
mod retention;
mod silent_links;
mod split_entries;
mod support;
mod unhealthy;
