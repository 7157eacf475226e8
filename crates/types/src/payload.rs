use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// One JSON document as shared immutable text; the dispatcher does not interpret it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Payload(Arc<str>);

impl Payload {
    /// Wraps text that is known to be valid JSON.
    pub fn from_json(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the JSON text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the size of the text in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the text is empty, which valid JSON never is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
