types::plain! {
    /// What a [`crate::JobTable`] holds.
    #[derive(Copy, Eq, Default)]
    pub struct TableSizes {
        /// Jobs in progress, with orphaned ones.
        pub live: usize,
        /// Bytes of the jobs in progress, without their answers.
        pub live_bytes: usize,
        /// Jobs that have ended and are remembered.
        pub finished: usize,
        /// Jobs that have ended and whose outcome is kept.
        pub retained: usize,
        /// Bytes of the kept outcomes.
        pub retained_bytes: usize,
        /// Ids that an agent started and no record names.
        pub unrecorded: usize,
    }
}
