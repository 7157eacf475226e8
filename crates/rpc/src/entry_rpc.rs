use types::Refusal;

use crate::{
    Announcement, AnnouncementReply, EntryIdentity, ForwardedJob, JobQuery, JobStatus,
    MembersReport, PeerConfig, ProbeReply, Renewal, RenewalReply,
};

/// Calls that agents and other entries make to entries.
#[tarpc::service]
pub trait EntryRpc {
    /// Records an agent's announcement and returns the entries that this one knows.
    async fn announce(announcement: Announcement) -> AnnouncementReply;
    /// Renews an agent's announcement while its state has not changed.
    async fn renew(renewal: Renewal) -> RenewalReply;
    /// Returns the agents that the entry knows.
    async fn members() -> MembersReport;
    /// Submits a job to its owner.  Replies with the outcome or, if the caller does not wait, on
    /// acceptance.
    async fn submit(job: ForwardedJob) -> Result<JobStatus, Refusal>;
    /// Returns the state of a job, after waiting up to the given time for its outcome.
    async fn status(query: JobQuery) -> Result<JobStatus, Refusal>;
    /// Cancels a job and returns its state.
    async fn cancel(query: JobQuery) -> Result<JobStatus, Refusal>;
    /// Returns the state of the entry; `from` is the entry that calls.
    async fn probe(from: EntryIdentity) -> ProbeReply;
    /// Returns the configuration in force.
    async fn config() -> PeerConfig;
}
