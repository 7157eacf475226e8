use crate::Record;

types::plain! {
    /// Consecutive records of a stream, without duplicates.
    pub struct Page<B> {
        /// Records in stream order; empty if there are no new ones.
        pub records: Vec<Record<B>>,
        /// Whether the page extends to the end that the stream had when it was read.
        pub is_caught_up: bool,
    }
}
