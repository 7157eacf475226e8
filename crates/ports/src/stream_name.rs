use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use types::{EntryName, Incarnation};

/// Name of a stream of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamName(Arc<str>);

impl StreamName {
    /// Returns the name of the stream of configuration records.
    pub fn config() -> Self {
        Self("config".into())
    }

    /// Returns the name of the stream of partition claims.
    pub fn claims() -> Self {
        Self("claims".into())
    }

    /// Returns the name of the stream in which entries and upstreams record that they join and
    /// leave.
    pub fn members() -> Self {
        Self("members".into())
    }

    /// Returns the name of the stream of job records that one incarnation of an entry writes.
    pub fn jobs(entry: &EntryName, incarnation: Incarnation) -> Self {
        Self(format!("jobs.{entry}.{incarnation}").into())
    }

    /// Creates a name from text, without validation.
    pub fn from_text(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StreamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
