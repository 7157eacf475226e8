//! Names of the agent's metrics.

pub(crate) const RUNNING: &str = "ebonycroft_agent_running_tasks";
pub(crate) const QUEUED: &str = "ebonycroft_agent_queued_tasks";
pub(crate) const STARTS: &str = "ebonycroft_agent_starts_total";
pub(crate) const REFUSED: &str = "ebonycroft_agent_refused_total";
pub(crate) const JOINED: &str = "ebonycroft_agent_joined_total";
pub(crate) const REMEMBERED: &str = "ebonycroft_agent_remembered_attempts";
pub(crate) const LEASES_LAPSED: &str = "ebonycroft_agent_leases_lapsed_total";
pub(crate) const ANNOUNCEMENTS: &str = "ebonycroft_agent_announcements_total";
pub(crate) const RENEWALS: &str = "ebonycroft_agent_renewals_total";
