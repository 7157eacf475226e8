use ports::{Offset, StreamName};
use thiserror::Error;

/// A record that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{step} the record at offset {offset} of stream {stream}: {kind}")]
pub struct RecordError {
    /// The step in progress, as a present participle.
    pub step: &'static str,
    /// Stream of the record.
    pub stream: StreamName,
    /// Position of the record.
    pub offset: Offset,
    /// Reason why it cannot be decoded.
    pub kind: RecordErrorKind,
}

/// Reason why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordErrorKind {
    /// The record has a format that this version of the program does not know.
    #[error("format {0} is not known")]
    UnknownFormat(u16),
    /// The record ends before its content is complete.
    #[error("the record is truncated")]
    Truncated,
    /// The content differs from what was written.
    #[error("the checksum does not match")]
    Checksum,
    /// The content is intact but is not what this version of the program expects.
    #[error("the content is not known: {0}")]
    Content(String),
}
