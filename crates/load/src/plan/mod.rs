//! The plan of a load run, as read from a YAML file.

mod arrivals;
mod cancel_wave;
mod fault_step;
mod flood;
mod load_plan;
mod metrics_plan;
mod rate;
mod run_time;
mod service_capacity;
mod stream_plan;
mod task_count;
mod validate;
mod window;

pub use crate::plan::{
    arrivals::Arrivals, cancel_wave::CancelWave, fault_step::FaultStep, flood::Flood,
    load_plan::LoadPlan, metrics_plan::MetricsPlan, rate::Rate, run_time::RunTime,
    service_capacity::ServiceCapacity, stream_plan::StreamPlan, task_count::TaskCount,
    window::Window,
};
