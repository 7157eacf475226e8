//! Task placement: slot accounting at an agent, choice of an upstream at an entry, learned
//! speeds of upstreams and sizes of tasks, and recall of queued tasks.
//!
//! An *offer* is a free slot that an agent reserves for one entry; a task that is sent without
//! one is a *fallback*.  The *fair share* of an entry is an equal part of an upstream's slots.
//! The *charge* of a task is the amount of resources accounted for it.  Expected run times refer
//! to an upstream of *speed* 1; on an upstream of speed 2, a task takes half the time.
//!
//! Nothing here performs I/O, reads a clock or keeps global state: callers pass the time in
//! microseconds of a monotonic clock and a random number generator.

mod agent_load;
mod choice;
mod declared_size;
mod dispatch;
mod dispatch_order;
mod entry_account;
mod finish_outcome;
mod fleet;
mod group;
mod health_weight;
mod indices;
mod job_spread;
mod learner;
mod log_histogram;
mod moving_mean;
mod never_fits;
mod placer;
mod pool_speeds;
mod recall_batch;
mod recall_outcome;
mod recall_scheduler;
mod run_time_model;
mod slot_decision;
mod slot_limits;
mod slot_table;
mod speed_class;
mod speed_index;
mod speed_model;
mod start_request;
mod task_requirements;
mod upstream;
mod upstream_spec;
mod usage_model;
mod waiting_list;
mod work_rate;
mod zone_delays;

pub use crate::{
    agent_load::AgentLoad,
    choice::Choice,
    declared_size::DeclaredSize,
    dispatch::Dispatch,
    dispatch_order::longest_first,
    finish_outcome::FinishOutcome,
    health_weight::HealthWeight,
    indices::{KindIndex, PoolIndex, RackIndex, UpstreamIndex},
    job_spread::JobSpread,
    learner::Learner,
    never_fits::NeverFits,
    placer::Placer,
    recall_batch::RecallBatch,
    recall_outcome::RecallOutcome,
    recall_scheduler::RecallScheduler,
    slot_decision::{SlotDecision, SlotRefusal},
    slot_limits::SlotLimits,
    slot_table::SlotTable,
    start_request::StartRequest,
    task_requirements::TaskRequirements,
    upstream_spec::UpstreamSpec,
};
