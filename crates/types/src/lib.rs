//! Types shared by every crate of ebonycroft: names, identifiers, resources, urgency
//! classes, outcomes and errors.  Nothing here performs I/O; only the `generate` functions
//! of identifiers read the clock.

extern crate self as types;

mod answer;
mod digest;
mod epoch;
mod failure;
mod incarnation;
mod job_id;
mod job_outcome;
mod location;
mod macros;
mod name;
mod partition;
mod payload;
mod refusal;
mod resources;
mod route;
mod step_error;
mod task_key;
mod urgency;

pub use crate::{
    answer::Answer,
    digest::{Digest, ParseDigestError},
    epoch::Epoch,
    failure::Failure,
    incarnation::Incarnation,
    job_id::{JobId, JobIdError},
    job_outcome::JobOutcome,
    location::Location,
    name::{
        EntryName, KindName, Name, NameError, PoolName, RackName, RegionName, ServiceName,
        TeamName, UpstreamName, ZoneName,
    },
    partition::{Partition, PartitionCount},
    payload::Payload,
    refusal::Refusal,
    resources::Resources,
    route::Route,
    step_error::{Peer, StepError},
    task_key::{AttemptKey, AttemptNumber, TaskIndex, TaskKey},
    urgency::Urgency,
};

#[doc(hidden)]
pub use serde;
