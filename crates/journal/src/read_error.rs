use ports::LogError;
use thiserror::Error;

use crate::RecordError;

/// Error of a read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The log did not answer, its answer was malformed, or it no longer has the offset.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The next record cannot be decoded.  The reader stays at its offset until
    /// [`crate::Reader::seek`] is called.
    #[error(transparent)]
    Record(#[from] RecordError),
}
