//! Partition ownership and job state of an entry, as pure state machines: which entry owns a
//! partition, how a submission is handled, which attempts may start, and what a new owner
//! restores from the records of previous owners and the reports of agents. Nothing here
//! performs I/O or reads a clock.

mod ambiguous_period;
mod assignment;
mod attempt_ref;
mod attempt_result;
mod claim_record;
mod effects;
mod finished;
mod job;
mod job_record;
mod job_table;
mod job_terms;
mod member;
mod ownership_error;
mod ownership_snapshot;
mod ownership_state;
mod partition_state;
mod restored;
mod resume_plan;
mod retry_decision;
mod start_error;
mod submission;
mod submit_decision;
mod table_attempts;
mod table_finish;
mod table_ownership;
mod table_settings;
mod table_sizes;
mod table_views;
mod takeover;
mod takeover_agents;
mod takeover_streams;
mod task;
mod task_evidence;
mod tenure;

pub use crate::{
    ambiguous_period::AmbiguousPeriod,
    assignment::{OwnershipPlan, plan_ownership},
    attempt_ref::AttemptRef,
    attempt_result::AttemptResult,
    claim_record::{Claim, ClaimRecord, PartitionClaim, Release},
    effects::{AttemptEffects, DropReason, FencedJob, FinishedJob},
    job_record::{AcceptedRecord, FinishedRecord, JobRecord, OutcomeClass, ServedRecord},
    job_table::JobTable,
    job_terms::JobTerms,
    member::{Member, MemberHealth},
    ownership_error::OwnershipError,
    ownership_snapshot::OwnershipSnapshot,
    ownership_state::{OwnershipState, PositionedClaim},
    partition_state::PartitionState,
    restored::{
        RestoreEffects, RestoredFinishedJob, RestoredJob, RestoredPartition, RestoredState,
    },
    resume_plan::{ResumePlan, ResumeStep},
    retry_decision::RetryDecision,
    start_error::{StartError, StartPermit},
    submission::Submission,
    submit_decision::SubmitDecision,
    table_finish::CancelEffects,
    table_settings::{TableSettings, TableSettingsBuilder},
    table_sizes::TableSizes,
    takeover::Takeover,
    tenure::Tenure,
};
