types::wire! {
    /// Progress of a task, as recorded by a worker.
    #[derive(Copy)]
    pub struct Checkpoint {
        /// Work done, in milliseconds of nominal run time.
        pub done_ms: f64,
    }
}
