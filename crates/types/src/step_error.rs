use std::{fmt, net::SocketAddr};

use thiserror::Error;

/// What a failed step was communicating with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The process or service at a network address.
    Address(SocketAddr),
    /// A service at a URL, a stream of the log, or a process by its name.
    Named(String),
    /// This process; the step involved no other.
    Local,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address(addr) => addr.fmt(f),
            Self::Named(name) => f.write_str(name),
            Self::Local => f.write_str("this process"),
        }
    }
}

/// An error with the step in which it occurred and the peer of that step.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{step} with {peer}: {message}")]
pub struct StepError {
    /// The step in progress, as a present participle: `connecting`, `appending`.
    pub step: &'static str,
    /// What the step was communicating with.
    pub peer: Peer,
    /// Cause of the error.
    pub message: String,
}

impl StepError {
    /// Creates an error from the step, the peer and any displayable cause.
    pub fn new(step: &'static str, peer: Peer, cause: impl fmt::Display) -> Self {
        Self { step, peer, message: cause.to_string() }
    }
}
