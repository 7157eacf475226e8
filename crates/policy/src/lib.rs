//! Policies under load: fair queueing, quotas, admission, retry budgets and upstream health.
//! Nothing here performs I/O, reads a clock or draws random numbers; times are
//! microseconds on the caller's monotonic clock and are passed as arguments.
//!
//! Slot time is the time for which tasks occupy slots.  Speed 1 is the reference speed of an
//! upstream; one of speed 2 runs a task in half the time.

mod admission;
mod admission_builder;
mod admission_error;
mod builder;
mod charge;
mod class_floors;
mod class_queue;
mod decayed_sum;
mod drain_rate;
mod estimate;
mod evidence;
mod failure_rate;
mod fair_queue;
mod fair_queue_builder;
mod fluid_model;
mod health_change;
mod health_state;
mod health_tracker;
mod health_tracker_builder;
mod job_demand;
mod job_histories;
mod job_history;
mod outcome;
mod peeked_task;
mod popped_task;
mod queue_full;
mod queue_memory;
mod queued_job;
mod queued_task;
mod quota;
mod retry_budget;
mod retry_budget_builder;
mod schedule;
mod team_backlog;
mod team_load;
mod team_queue;
mod ticket;
mod upstream_health;
mod virtual_time;

pub use crate::{
    admission::Admission,
    admission_builder::AdmissionBuilder,
    admission_error::AdmissionError,
    charge::Charge,
    class_floors::{ClassFloors, ClassFloorsError},
    drain_rate::DrainRate,
    estimate::Estimate,
    fair_queue::FairQueue,
    fair_queue_builder::FairQueueBuilder,
    health_change::HealthChange,
    health_state::HealthState,
    health_tracker::HealthTracker,
    health_tracker_builder::HealthTrackerBuilder,
    job_demand::JobDemand,
    outcome::Outcome,
    peeked_task::PeekedTask,
    popped_task::PoppedTask,
    queue_full::QueueFull,
    queued_job::{JobTask, QueuedJob},
    queued_task::QueuedTask,
    quota::Quota,
    retry_budget::RetryBudget,
    retry_budget_builder::RetryBudgetBuilder,
    team_backlog::TeamBacklog,
    ticket::Ticket,
};
