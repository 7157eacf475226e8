//! Names of the entry's metrics.

pub(crate) const JOBS: &str = "ebonycroft_jobs_total";
pub(crate) const JOBS_HELD: &str = "ebonycroft_jobs_held";
pub(crate) const REFUSALS: &str = "ebonycroft_refusals_total";
pub(crate) const DISPATCHES: &str = "ebonycroft_dispatches_total";
pub(crate) const ANSWERS: &str = "ebonycroft_answers_total";
pub(crate) const RETRIES: &str = "ebonycroft_retries_total";
pub(crate) const CANCEL_MESSAGES: &str = "ebonycroft_cancel_messages_total";
pub(crate) const LATE_ANSWERS: &str = "ebonycroft_late_answers_total";
pub(crate) const QUEUE_TASKS: &str = "ebonycroft_queue_tasks";
pub(crate) const UPSTREAMS: &str = "ebonycroft_upstreams";
pub(crate) const LINK_PROBES: &str = "ebonycroft_link_probes_total";
pub(crate) const LINK_REPLACED: &str = "ebonycroft_link_replaced_total";
pub(crate) const LINK_REPEATS: &str = "ebonycroft_link_repeats_total";
pub(crate) const FORWARDED: &str = "ebonycroft_forwarded_total";
pub(crate) const CONFIG_VERSION: &str = "ebonycroft_config_version";
