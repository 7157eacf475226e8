use crate::{Offset, StreamName};

types::plain! {
    /// One record of a stream.
    pub struct LogRecord {
        /// Position in the stream.
        pub offset: Offset,
        /// Content as it was appended.
        pub data: Vec<u8>,
    }

    /// Consecutive records of a stream.
    pub struct LogPage {
        /// The stream that the log reports as read.
        pub stream: StreamName,
        /// Oldest offset that the log retains.
        pub oldest: Offset,
        /// Offset that the next append will get.
        pub end: Offset,
        /// Records from the requested offset on; empty at the end of the stream.
        pub records: Vec<LogRecord>,
    }
}
