types::plain! {
    /// Predicted timing of an admitted job.
    #[derive(Copy, Eq)]
    pub struct Estimate {
        /// Time until the last task starts, in microseconds.
        pub wait_us: u64,
        /// Time until the last task ends, in microseconds.
        pub finish_us: u64,
    }
}
