types::wire! {
    /// How far a task has run, as a worker noted it.
    #[derive(Copy)]
    pub struct Checkpoint {
        /// Work done, in milliseconds of nominal run time.
        pub done_ms: f64,
    }
}
