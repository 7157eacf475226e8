types::plain! {
    /// Number and size of what a [`crate::JobTable`] holds.
    #[derive(Copy, Eq, Default)]
    pub struct TableSizes {
        /// Number of jobs in progress, including orphaned ones.
        pub live: usize,
        /// Bytes of the jobs in progress, excluding their answers.
        pub live_bytes: usize,
        /// Number of finished jobs, including those without an outcome.
        pub finished: usize,
        /// Number of finished jobs whose outcome is retained.
        pub retained: usize,
        /// Bytes of the retained outcomes.
        pub retained_bytes: usize,
        /// Number of job ids that an agent started and that no record names.
        pub unrecorded: usize,
    }
}
