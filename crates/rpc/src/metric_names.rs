//! Names of the metrics of this crate.

pub(crate) const MESSAGES: &str = "ebonycroft_rpc_messages_total";
pub(crate) const BYTES: &str = "ebonycroft_rpc_bytes_total";
