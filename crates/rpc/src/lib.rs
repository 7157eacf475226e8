//! Protocol between the entries and agents of ebonycroft: `tarpc` services over TCP and their
//! messages.
//!
//! Messages are encoded with bincode, which identifies fields and variants by position, so their
//! order is part of the protocol.

mod agent_rpc;
mod announcement;
mod attempt_state;
mod cancel_batch;
mod codec;
mod counting_codec;
mod entries_digest;
mod entry_identity;
mod entry_rpc;
mod forwarded_job;
mod hello;
mod job_status;
mod load_report;
mod members_report;
mod message_name;
mod metric_names;
mod probe_reply;
mod renewal;
mod started_report;
mod task_reply;
mod task_result;
mod task_start;

pub use crate::{
    agent_rpc::{AgentRpc, AgentRpcClient},
    announcement::{AgentIdentity, Announcement, AnnouncementReply, MemberState},
    attempt_state::AttemptState,
    cancel_batch::CancelBatch,
    codec::{Transport, accept, connect, listen},
    counting_codec::CountingCodec,
    entries_digest::EntriesDigest,
    entry_identity::EntryIdentity,
    entry_rpc::{EntryRpc, EntryRpcClient},
    forwarded_job::{ForwardedJob, JobQuery},
    hello::{Hello, HelloReply, OwnedPartition},
    job_status::JobStatus,
    load_report::LoadReport,
    members_report::MembersReport,
    message_name::MessageName,
    probe_reply::{PeerConfig, PeerContact, ProbeReply},
    renewal::{Renewal, RenewalReply},
    started_report::{StartedAttempt, StartedQuery, StartedReport},
    task_reply::TaskReply,
    task_result::{NotStarted, TaskResult},
    task_start::TaskStart,
};
