//! Decisions about direct jobs: jobs that are answered on their submission with their end and
//! are kept nowhere. An entry owns a [`Dispatcher`], an agent a [`Supervisor`]. Both take events
//! with the time at which they happened and return effects; neither does I/O, reads a clock or
//! draws random numbers. Times are milliseconds on a steady clock that counts suspended time.

mod dispatcher;
mod job;
mod link_message;
mod routing;
mod supervisor;
mod task_id;
mod timing;
mod upstream;

pub use crate::{
    dispatcher::{
        Admission, AgentKey, AgentSummary, Dispatcher, DispatcherEffect, JobKey, PoolCapacity,
    },
    job::{DirectJob, JobOutcome, JobStep, RefusalReason},
    link_message::{
        AgentHello, Attempt, AttemptBatch, AttemptId, AttemptOutcome, EntryHello, Load, Report,
        ToAgent,
    },
    routing::{Queue, RequestLimits, Routing},
    supervisor::{
        RunList, RunOutcome, RunRow, SessionKey, StartResult, StartRun, Supervisor,
        SupervisorEffect,
    },
    task_id::TaskId,
    timing::{BoundsError, Timing},
    upstream::{Upstream, UpstreamState},
};
