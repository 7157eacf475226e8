//! Decision logic for direct jobs. A direct job is stored nowhere: the reply to its submission
//! carries its outcome.
//!
//! An entry owns a [`Dispatcher`], an agent a [`Supervisor`]. Both are deterministic state
//! machines: they take events with the time at which these happened and return effects for the
//! process to carry out. Neither does I/O, reads a clock or draws random numbers. Times are
//! milliseconds on a monotonic clock that includes time spent suspended.

mod claim;
mod dispatcher;
mod evacuations;
mod fencing;
mod job;
mod link_message;
mod list_position;
mod peer_choice;
mod routing;
mod supervisor;
mod task_id;
mod timing;
mod upstream;

pub use crate::{
    claim::{Claim, ClaimEnd, ClaimId, ClaimNews},
    dispatcher::{
        Admission, AgentKey, AgentPlacement, AgentSummary, Dispatcher, DispatcherEffect, JobKey,
        LookAheadCounts, LossCause, PassedOver, PlacementAnswer, PlacementQuestion, PoolCapacity,
        WithdrawalCause,
    },
    evacuations::{Evacuations, ZoneChange, ZoneRecord},
    fencing::FencingToken,
    job::{DirectJob, JobName, JobOutcome, JobStep, RefusalReason},
    link_message::{
        AgentHello, Attempt, AttemptBatch, AttemptId, AttemptOutcome, Crash, CrashNotice,
        EntryHello, EntryMessage, Load, Report, Suspect, ToAgent, UnsettledAttempts,
    },
    list_position::ListPosition,
    peer_choice::choose_peers,
    routing::{Queue, RequestLimits, Routing},
    supervisor::{
        RunList, RunOutcome, RunRow, SessionKey, SettledBy, StartResult, StartRun, StopCause,
        Supervisor, SupervisorEffect,
    },
    task_id::{JobTasks, TaskId},
    timing::{BoundsError, Timing},
    upstream::{Upstream, UpstreamState},
};
