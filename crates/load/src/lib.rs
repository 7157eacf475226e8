//! Open-loop load generator for the callers' interface, and a naive dispatcher as a baseline.
//!
//! A run sends jobs at times that are computed in advance, whether or not earlier ones have
//! been answered, and measures every response time from the planned time of sending, so that
//! it includes the time for which a job waited to be sent.

mod arrival_times;
mod caller;
mod comparison;
mod counters;
mod counts;
mod distribution;
mod in_flight;
mod load_error;
mod loopback;
mod naive;
mod pacer;
mod plan;
mod progress;
mod reply;
mod report;
mod run;
mod run_state;
mod schedule;
mod starts_check;
mod statistics;
mod submission;
mod table;

pub use crate::{
    comparison::{Comparison, NamedReport},
    counts::Counts,
    distribution::Distribution,
    load_error::LoadError,
    naive::{NaiveDispatcher, NaiveUpstream},
    plan::{
        Arrivals, CancelWave, FaultStep, Flood, LoadPlan, MetricsPlan, Rate, RunTime,
        ServiceCapacity, StreamPlan, TaskCount, Window,
    },
    progress::Progress,
    report::{CounterReport, Report, StartsReport, StreamReport, WindowReport},
    run::run,
    schedule::{PlannedJob, Schedule},
};
