use ports::LogError;
use thiserror::Error;

use crate::RecordError;

/// A read that gave no records.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The log did not answer, answered wrongly, or no longer keeps the offset.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The next record cannot be decoded.  The reader stays in front of it until
    /// [`crate::Reader::seek`] moves it.
    #[error(transparent)]
    Record(#[from] RecordError),
}
