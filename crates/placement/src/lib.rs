//! Placement of tasks on upstreams: slot accounting at an agent, choice of an upstream at
//! an entry, learned speeds and sizes, and recall of waiting tasks.  Nothing here performs
//! I/O, reads a clock or keeps global state: time comes in as microseconds on a monotonic
//! clock, randomness as a generator.

mod agent_load;
mod choice;
mod declared_size;
mod dispatch;
mod entry_share;
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
mod wave;
mod work_rate;
mod zone_delays;

pub use crate::{
    agent_load::AgentLoad,
    choice::Choice,
    declared_size::DeclaredSize,
    dispatch::Dispatch,
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
    wave::longest_first,
};
