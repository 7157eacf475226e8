//! A baseline dispatcher: it assigns tasks to upstreams in turn and serves them in order of
//! arrival, without admission control, retries or detection of duplicate submissions.

mod body;
mod dispatcher;
mod upstream;

pub use crate::naive::{dispatcher::NaiveDispatcher, upstream::NaiveUpstream};
