use ports::Offset;
use types::Incarnation;

types::plain! {
    /// One record of a stream: a batch of bodies that one append made durable.
    pub struct Record<B> {
        /// Position in the stream.
        pub offset: Offset,
        /// Incarnation of the process that wrote the record.
        pub writer: Incarnation,
        /// Number of the record among those of its writer in this stream, from 1.
        pub sequence: u64,
        /// Bodies in the order in which the writer accepted them.
        pub bodies: Vec<B>,
    }
}
