use std::{io, path::PathBuf};

use settings::SettingsError;
use thiserror::Error;
use types::StepError;

/// Error that ends a command; its text is printed to the standard error.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is not valid.
    #[error("{0}")]
    Usage(String),
    /// A settings file cannot be read or is not valid.
    #[error("settings {path}: {source}")]
    Settings {
        /// Path of the settings file.
        path: PathBuf,
        /// Why the settings cannot be used.
        source: SettingsError,
    },
    /// A file cannot be read.
    #[error("reading {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A step of the command failed.
    #[error(transparent)]
    Step(#[from] StepError),
    /// An entry's metrics address gives no usable reply.
    #[error(
        "asking the entry at {address}: {problem}. Check that the entry runs, that `process.metrics` \
         in its settings is this address, and that this machine can connect to it; an agent or an \
         earlier version does not answer this question"
    )]
    Unreachable {
        /// The address.
        address: String,
        /// What happened.
        problem: String,
    },
    /// An entry or agent refused a request.
    #[error("{step}: {status}: {detail}")]
    Refused {
        /// What the command was doing.
        step: &'static str,
        /// HTTP status of the reply.
        status: u16,
        /// Reason that the reply gives.
        detail: String,
    },
    /// The outcome of a patch is not known yet.
    #[error("patch {patch_id} is undecided: ask again with `ebonycroft patch --ask {patch_id}`")]
    Undecided {
        /// Identifier of the patch.
        patch_id: String,
    },
}

impl CliError {
    /// Returns the exit code of the process: 1 for a failed step or an unreadable file, 2 for a
    /// wrong command line, 3 for unusable settings, 4 for a refused request, 5 for an undecided
    /// patch.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Step(_) | Self::Read { .. } | Self::Unreachable { .. } => 1,
            Self::Usage(_) => 2,
            Self::Settings { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Undecided { .. } => 5,
        }
    }
}
