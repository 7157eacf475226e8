use ports::Offset;
use types::Incarnation;

types::plain! {
    /// One record of a stream: a batch of bodies that one append made durable.
    pub struct Record<B> {
        /// Position in the stream.
        pub offset: Offset,
        /// The run of the process that wrote the record.
        pub writer: Incarnation,
        /// Number of the record among those of its writer in this stream, from 1.
        pub sequence: u64,
        /// What was written, in the order in which it was handed to the writer.
        pub bodies: Vec<B>,
    }
}
